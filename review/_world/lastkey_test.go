package world

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// neverKey is a key that no configuration has ever held.
	neverKey = "q7xk2m9w4tz8v5h3c6np"
	// lateOrders is the number of orders that are sent with each key.
	lateOrders = 5
)

func init() { cases["lastkey"] = playLastKey }

// playLastKey takes the last key of the only tenant away. Without the disruption, the tenant keeps another key.
func playLastKey(w *world, trouble bool) int {
	var mu sync.Mutex
	keyOf, ran := map[string]string{}, map[string]int{}
	e := newOrderEngine(w, "i-1")
	e.onRun = func(r *http.Request, id string, _ int) {
		mu.Lock()
		defer mu.Unlock()
		ran[keyOf[id]]++
		w.note("the engine runs request %s, sent with %s, for the tenant %q", id, keyOf[id], r.Header.Get("X-Fulmarrail-Tenant"))
	}
	if e.start("127.0.0.1") != nil {
		return failed
	}
	w.beat(e.id, e.row)
	before, after := []string{revokedKey}, []string{}
	if !trouble {
		before, after = append(before, goodKey), append(after, goodKey)
	}
	w.store.put("op", "config", orderConfig(7, before...))
	g := w.gateway("front-leinster-a-1", "127.0.0.1", freePort("127.0.0.1"))
	if w.start(g) != nil || !g.awaitReady(20*time.Second) {
		return failed
	}
	time.Sleep(time.Second)
	n := 0
	send := func(name, key string) {
		n++
		id := fmt.Sprintf("%016d", n)
		mu.Lock()
		keyOf[id] = name
		mu.Unlock()
		status, err := orderOnce(g.front, id, key)
		w.note("a client sends order %s with %s and gets %d, %v", id, name, status, err)
	}
	send("the tenant's key", revokedKey)
	send("a key that no configuration ever held", neverKey)
	w.store.put("op", "config", orderConfig(8, after...))
	w.note("the store acknowledges a configuration in which the tenant has %d keys", len(after))
	time.Sleep(revokeTime + 500*time.Millisecond)
	for range lateOrders {
		send("the key that was taken away", revokedKey)
		send("a key that no configuration ever held", neverKey)
	}
	mu.Lock()
	defer mu.Unlock()
	w.note("run: %v", ran)
	switch {
	case ran["the key that was taken away"] > 0 || ran["a key that no configuration ever held"] > 0:
		return broken
	case ran["the tenant's key"] == 0:
		return failed
	}
	return held
}
