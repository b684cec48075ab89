package world

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	deadlyPart = "dead0001"
	// deadlyIndex is the place of the deadly part in a prompt of partCount parts.
	partCount, deadlyIndex = 40, 36
	// crashTime is the time after which an engine is back, and stableWindow is stable-window-ms.
	crashTime    = 3 * time.Second
	stableWindow = 3 * time.Second
	// judgedCrash is the number of the crash from which the rules count.
	judgedCrash = 5
	// deadlyEvery is the number of requests of which one has the deadly part, deadlyInterval the time between two requests.
	deadlyEvery    = 20
	deadlyInterval = 50 * time.Millisecond
	calmTime       = 10 * time.Second
	deadlyTime     = 60 * time.Second
	crashEngines   = 6
	// maxDeadly is the number of requests with the part that may reach engines after that, and minSound the least number of sound requests to judge.
	maxDeadly, minSound = 3, 20
)

// deadlyCase is what has been seen so far.
type deadlyCase struct {
	w *world

	mu sync.Mutex
	// sent and begun hold the times at which sound and deadly requests were sent, and which ones have begun at an engine.
	sent        map[string]time.Time
	deadly      map[string]bool
	begun       map[string]bool
	statuses    map[string]int
	crashes     []time.Time
	deadlySince time.Time
	deadlyAtEnd int
}

func init() { cases["deadly"] = playDeadly }

// playDeadly sends requests with prompts of 40 parts. One of 20 has a part that ends each engine which begins to write an answer on it.
func playDeadly(w *world, trouble bool) int {
	d := &deadlyCase{w: w, sent: map[string]time.Time{}, deadly: map[string]bool{}, begun: map[string]bool{}, statuses: map[string]int{}}
	for i := range crashEngines {
		e := &modelEngine{id: fmt.Sprintf("i-%d", i), w: w, born: engineBorn}
		e.onToken = d.token
		e.hook = func(_ http.ResponseWriter, r *http.Request) bool {
			if !trouble || !strings.Contains(r.Header.Get("X-Fulmarrail-Prompt-Prefix"), deadlyPart) {
				return false
			}
			d.crash(e, r.Header.Get("X-Fulmarrail-Request-Id"))
			return true
		}
		if e.start("127.0.0.1", 1) != nil {
			return failed
		}
		w.beat(e.id, e.row)
	}
	source, err := startOrigin("127.0.0.1")
	if err != nil {
		return failed
	}
	w.store.put("op", "config", modelConfig(source))
	const firstIP, secondIP = "127.0.0.1", "127.0.0.2"
	inner := freePort(firstIP, secondIP)
	gateways := []*process{w.gateway("front-leinster-a-1", firstIP, inner), w.gateway("front-leinster-a-2", secondIP, inner)}
	for _, g := range gateways {
		if w.start(g) != nil || !g.awaitReady(20*time.Second) {
			return failed
		}
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	start := time.Now()
	w.note("sound requests come")
	for n := 0; time.Since(start) < calmTime+deadlyTime; n++ {
		isDeadly := n%deadlyEvery == 0 && time.Since(start) > calmTime
		wg.Go(func() { d.ask(gateways[n/3%2], fmt.Sprintf("%016d", n), isDeadly) })
		time.Sleep(deadlyInterval)
	}
	wg.Wait()
	return d.result()
}

// ask sends a request. Sound and deadly ones have the same caller and parts but one, and the last, which is the request's own.
func (d *deadlyCase) ask(g *process, id string, isDeadly bool) {
	d.mu.Lock()
	d.sent[id], d.deadly[id] = time.Now(), isDeadly
	if isDeadly && d.deadlySince.IsZero() {
		d.deadlySince = time.Now()
		d.w.note("from now on, one request of %d has the deadly part", deadlyEvery)
	}
	d.mu.Unlock()
	parts := make([]string, partCount)
	for i := range parts {
		parts[i] = fmt.Sprintf("5c1e%04x:40", i)
	}
	if isDeadly {
		parts[deadlyIndex] = deadlyPart + ":40"
	}
	parts[partCount-1] = id + ":250"
	status, err := askModel(g.front, id, strings.Join(parts, ","))
	d.mu.Lock()
	defer d.mu.Unlock()
	kind := "sound"
	if isDeadly {
		kind = "deadly"
	}
	if err != nil {
		d.statuses[kind+" without a whole answer"]++
		return
	}
	d.statuses[fmt.Sprintf("%s %d", kind, status)]++
}

func (d *deadlyCase) token(id string, _ int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.begun[id] = true
}

func (d *deadlyCase) crash(e *modelEngine, id string) {
	d.mu.Lock()
	d.crashes = append(d.crashes, time.Now())
	n := len(d.crashes)
	late := n > judgedCrash && d.sent[id].After(d.crashes[judgedCrash-1].Add(stableWindow))
	if late {
		d.deadlyAtEnd++
	}
	d.mu.Unlock()
	d.w.note("engine %s ends under request %s, crash %d", e.id, id, n)
	e.crash(crashTime)
}

func (d *deadlyCase) result() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	calm, calmBegun, after, afterBegun := 0, 0, 0, 0
	judgedFrom := time.Now()
	if len(d.crashes) > 0 {
		judgedFrom = d.crashes[min(judgedCrash, len(d.crashes))-1].Add(2 * stableWindow)
	}
	for id, at := range d.sent {
		begun := 0
		if d.begun[id] {
			begun = 1
		}
		switch {
		case d.deadly[id]:
		case d.deadlySince.IsZero() || at.Before(d.deadlySince.Add(-stableWindow)):
			calm, calmBegun = calm+1, calmBegun+begun
		case at.After(judgedFrom):
			after, afterBegun = after+1, afterBegun+begun
		}
	}
	d.w.note("answers: %v", d.statuses)
	d.w.note("crashes: %d; requests with the deadly part that reached engines, sent over 3 s after the fifth crash: %d (BUDGET allows %d)", len(d.crashes), d.deadlyAtEnd, maxDeadly)
	d.w.note("sound requests that began at the first attempt: %d of %d before, %d of %d from 6 s after the fifth or last crash", calmBegun, calm, afterBegun, after)
	switch {
	case calm < minSound || calmBegun == 0:
		return failed
	case after >= minSound && 2*afterBegun*calm < calmBegun*after, d.deadlyAtEnd > maxDeadly:
		return broken
	}
	return held
}
