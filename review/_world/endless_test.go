package world

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	endlessBlockBytes = 64 << 10
	// endlessPiece is the piece that is not answered in full, and watchTime the time for which the carrier is watched.
	endlessPiece = "7"
	watchTime    = 30 * time.Second
	ownEnds      = 3
)

func init() { cases["endless"] = playEndless }

// playEndless lets the engine beside a carrier answer the reading of one staged piece without end, until the caller closes.
func playEndless(w *world, trouble bool) int {
	const gatewayIP, sideIP = "127.0.0.1", "127.0.0.2"
	inner := freePort(gatewayIP, sideIP)
	e := &modelEngine{id: "i-1", w: w, born: engineBorn, putTime: time.Millisecond, warmup: 300 * time.Millisecond}
	var mu sync.Mutex
	endless, loaded := 0, 0
	e.onOrder = func(version int) { w.note("the engine accepts the order to load version %d", version) }
	e.onLoaded = func(int) {
		mu.Lock()
		defer mu.Unlock()
		loaded++
	}
	e.hook = func(rw http.ResponseWriter, r *http.Request) bool {
		if !trouble || !strings.HasPrefix(r.URL.Path, "/stage-get/") || r.URL.Query().Get("item-count") != endlessPiece {
			return false
		}
		mu.Lock()
		endless++
		mu.Unlock()
		block := make([]byte, endlessBlockBytes)
		for {
			if _, err := rw.Write(block); err != nil {
				return true // The caller has closed.
			}
		}
	}
	if e.start(sideIP, 1) != nil {
		return failed
	}
	source, err := startOrigin("127.0.0.1")
	if err != nil {
		return failed
	}
	w.store.put("op", "config", modelConfig(source))
	w.store.put("op", "version/"+modelName, map[string]any{"model": modelName, "version": 2})
	w.beat(e.id, e.row)
	g := w.gateway("front-leinster-a-1", gatewayIP, inner)
	c := w.carrier("side-leinster-a-1", sideIP, inner, e.address, modelService)
	if w.start(g) != nil || !g.awaitReady(20*time.Second) || w.start(c) != nil {
		return failed
	}
	kills, peak := 0, 0.0
	for start := time.Now(); time.Since(start) < watchTime && kills < ownEnds; {
		watch := w.watchMemory(c, carrierMemoryMB)
		select {
		case <-c.ended:
		case <-time.After(time.Until(start.Add(watchTime))):
		}
		used, killed := watch.end()
		peak = max(peak, used)
		if !killed {
			break
		}
		kills++
		time.Sleep(restartDelay)
		if w.start(c) != nil {
			return failed
		}
	}
	mu.Lock()
	defer mu.Unlock()
	w.note("the carrier's peak was %.0f MB, and it was killed %d times; answers without end: %d; loads: %d", peak, kills, endless, loaded)
	switch {
	case kills > 0:
		return broken
	case loaded == 0 && !trouble:
		return failed
	}
	return held
}
