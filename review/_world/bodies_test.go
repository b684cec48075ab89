package world

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// clientsOfZone is the number of clients of one zone in the site file.
	clientsOfZone = 31
	usualBody     = 670
	// longestWork is the longest time for which an engine of the site works on an order.
	longestWork = 110 * time.Millisecond
	// maxLost is the number of requests from kept connections that a machine may lose.
	maxLost = 3
	// waves is the number of times that the clients send such orders, ordersOfWave the number of orders that each of them sends one after the other.
	waves, ordersOfWave = 3, 5
)

func init() { cases["bodies"] = playBodies }

// bodiesCase is what has been seen so far.
type bodiesCase struct {
	w *world
	g *process

	mu       sync.Mutex
	arrived  map[string]bool
	answered map[int]int
	lost     int
	kills    int
	peak     float64
}

// playBodies lets the clients of one zone send an order each at the same time, with bodies of the largest allowed size. Where the gateway is killed, the
// platform starts it again, and the clients come back.
func playBodies(w *world, trouble bool) int {
	b := &bodiesCase{w: w, arrived: map[string]bool{}, answered: map[int]int{}}
	for i := range 3 {
		e := newOrderEngine(w, fmt.Sprintf("i-%d", i))
		e.work = longestWork
		e.onArrival = func(id string) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.arrived[id] = true
			w.note("order %s reaches engine %s", id, e.id)
		}
		e.onRun = func(_ *http.Request, id string, size int) {
			w.note("engine %s runs order %s of %d bytes", e.id, id, size)
		}
		if e.start("127.0.0.1") != nil {
			return failed
		}
		w.beat(e.id, e.row)
	}
	w.store.put("op", "config", orderConfig(7, goodKey))
	b.g = w.gateway("front-leinster-a-1", "127.0.0.1", freePort("127.0.0.1"))
	size := maxBodyBytes
	if !trouble {
		size = usualBody
	}
	killed := false
	for wave := range waves {
		if b.g.cmd == nil || killed {
			time.Sleep(restartDelay)
			if w.start(b.g) != nil || !b.g.awaitReady(20*time.Second) {
				return failed
			}
		}
		time.Sleep(time.Second)
		killed = b.playWave(wave, bytes.Repeat([]byte("a"), size))
	}
	return b.result()
}

// playWave lets all clients send their orders. It reports whether the gateway was killed.
func (b *bodiesCase) playWave(wave int, body []byte) (killed bool) {
	watch := b.w.watchMemory(b.g, gatewayMemoryMB)
	var wg sync.WaitGroup
	for i := range clientsOfZone {
		wg.Go(func() { b.send(fmt.Sprintf("%04d%04d", wave, i), body) })
	}
	wg.Wait()
	peak, killed := watch.end()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peak = max(b.peak, peak)
	if killed {
		b.kills++
	}
	return killed
}

// send sends the orders of one client on one connection. The first one is small, so that the connection is one that is kept.
func (b *bodiesCase) send(client string, body []byte) {
	c, err := dialCaller(b.g.front)
	if err != nil {
		return
	}
	defer c.close()
	if _, err := c.order(client+"00000000", goodKey, []byte("an order")); err != nil {
		return
	}
	for n := 1; n <= ordersOfWave && err == nil; n++ {
		id := fmt.Sprintf("%s%08d", client, n)
		var status int
		status, err = c.order(id, goodKey, body)
		b.record(id, len(body), status, err)
	}
}

func (b *bodiesCase) record(id string, size, status int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.w.note("a client sends order %s of %d bytes and gets %d, %v; it has reached an engine: %t", id, size, status, err, b.arrived[id])
	switch {
	case err == nil:
		b.answered[status]++
	case b.arrived[id]:
		b.lost++
	}
}

func (b *bodiesCase) result() int {
	b.w.note("peak %.0f MB, killed %d times; answers by status %v; orders that reached an engine and whose kept connection ended without an answer: %d", b.peak, b.kills, b.answered, b.lost)
	switch {
	case b.kills > 0 && b.lost > maxLost:
		return broken
	case len(b.answered) == 0:
		return failed
	}
	return held
}
