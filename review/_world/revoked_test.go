package world

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// stopAfter is the time from the revocation until one gateway is stopped, and awayAfter the time from then until the store is away.
	stopAfter = 3 * time.Second
	awayAfter = time.Second
	// copyMargin is the age of the copy beyond the revocation, which the copy lacks.
	copyMargin = time.Second
	// rewriteTime is the time after which the operator and the engines have written again what the copy lacks.
	rewriteTime = 2 * time.Second
	// askInterval is the time between two requests with the revoked key to each gateway, and askTime that for which they are sent.
	askInterval = 10 * time.Millisecond
	askTime     = 4 * time.Second
)

// revokedCase is what has been seen so far.
type revokedCase struct {
	w *world

	mu sync.Mutex
	// sent holds the time at which each request was sent, and statuses counts the answers by gateway and status.
	sent         map[string]time.Time
	statuses     map[string]int
	acknowledged time.Time
	ran, late    int
}

func init() { cases["revoked"] = playRevoked }

// playRevoked takes a key away, restarts one of two gateways as planned, and lets the store come back from a copy that still has the key.
func playRevoked(w *world, trouble bool) int {
	const firstIP, secondIP = "127.0.0.1", "127.0.0.2"
	r := &revokedCase{w: w, sent: map[string]time.Time{}, statuses: map[string]int{}}
	e := newOrderEngine(w, "i-1")
	e.onRun = r.run
	if e.start("127.0.0.1") != nil {
		return failed
	}
	w.beat(e.id, e.row)
	w.store.put("op", "config", orderConfig(7, goodKey, revokedKey))
	inner := freePort(firstIP, secondIP)
	first, second := w.gateway("front-leinster-a-1", firstIP, inner), w.gateway("front-leinster-a-2", secondIP, inner)
	for _, g := range []*process{first, second} {
		if w.start(g) != nil || !g.awaitReady(20*time.Second) {
			return failed
		}
	}
	time.Sleep(2 * time.Second)
	r.ask(first)
	r.ask(second)
	r.report("with the key")
	ack := w.store.put("op", "config", orderConfig(8, goodKey))
	r.mu.Lock()
	r.acknowledged = ack
	r.mu.Unlock()
	w.note("the store acknowledges a configuration that takes the key away")
	time.Sleep(stopAfter)
	r.ask(first)
	r.ask(second)
	r.report("with the key, 3 s later")
	w.note("%s gets SIGTERM", second.name)
	second.signal(syscall.SIGTERM)
	time.Sleep(awayAfter)
	if trouble {
		w.note("the store is away")
		w.store.setAway(true)
	}
	select {
	case <-second.ended:
	case <-time.After(10 * time.Second):
		return failed
	}
	time.Sleep(restartDelay)
	if trouble {
		age := time.Since(ack) + copyMargin
		w.store.restore(age)
		w.note("the store is back, from a copy that is %.1f s old", age.Seconds())
		time.AfterFunc(rewriteTime, func() {
			w.store.put("op", "config", orderConfig(8, goodKey))
			w.note("the operator has written again what the copy lacks")
		})
	}
	if w.start(second) != nil {
		return failed
	}
	var wg sync.WaitGroup
	for start := time.Now(); time.Since(start) < askTime; time.Sleep(askInterval) {
		for _, g := range []*process{first, second} {
			wg.Go(func() { r.ask(g) })
		}
	}
	wg.Wait()
	r.report("from then on, with the key that was taken away")
	return r.result()
}

// ask sends an order with the key to a gateway.
func (r *revokedCase) ask(g *process) {
	r.mu.Lock()
	id := fmt.Sprintf("%016d", len(r.sent))
	r.sent[id] = time.Now()
	r.mu.Unlock()
	status, err := orderOnce(g.front, id, revokedKey)
	r.w.note("a client sends order %s with the key to %s and gets %d, %v", id, g.name, status, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.statuses[g.name+": no answer"]++
		return
	}
	r.statuses[fmt.Sprintf("%s: %d", g.name, status)]++
}

// run judges a request that the engine runs.
func (r *revokedCase) run(_ *http.Request, id string, _ int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran++
	r.w.note("the engine runs order %s", id)
	if r.acknowledged.IsZero() {
		return
	}
	if after := r.sent[id].Sub(r.acknowledged); after > revokeTime {
		r.late++
		r.w.note("order %s was sent with the key %.2f s after the acknowledgement that took it away", id, after.Seconds())
	}
}

func (r *revokedCase) report(when string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.note("%s: %v", when, r.statuses)
	clear(r.statuses)
}

func (r *revokedCase) result() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.note("requests that were sent over 5 s after the acknowledgement and run: %d", r.late)
	switch {
	case r.late > 0:
		return broken
	case r.ran < 2:
		return failed
	}
	return held
}
