package world3

import (
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// versionBound is the bound version_ms.
	versionBound = 8 * time.Second
	// darkTime is the time for which the machines have no power.
	darkTime = 5 * time.Second
)

// outage plays a loss of power of all the system's machines, right before a new version of the weights is named.
func outage(w *world) {
	engines, carriers, gateways := modelWorld(w, 16)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[int]int{}
	takers := map[string]*proc{}
	wg.Go(func() {
		tick := time.NewTicker(25 * time.Millisecond)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			wg.Go(func() {
				a, p := streamRequest(n, "5c1e07a2").send(gateways)
				w.log("client's request %s at %s ends with %d %v", a.id, p.name, a.status, a.err)
				mu.Lock()
				defer mu.Unlock()
				ends[a.status]++
				takers[a.id] = p
			})
		}
	})
	time.Sleep(4 * time.Second)
	all := append(slices.Clone(gateways), carriers...)
	if w.trouble {
		for _, p := range all {
			p.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(50 * time.Millisecond)
	w.store.put("op", "version/"+model, map[string]any{"model": model, "version": 2})
	acked := time.Now()
	w.log("the naming of version 2 is acknowledged")
	if w.trouble {
		time.Sleep(darkTime)
		for _, p := range all {
			p.run()
		}
	}
	time.Sleep(time.Until(acked.Add(14 * time.Second)))
	close(stop)
	wg.Wait()
	late := 0
	for _, e := range engines {
		for _, a := range e.all() {
			after, p := a.at.Sub(acked), takers[a.id]
			if a.ran && a.version == 1 && after > versionBound && p != nil && p.inTouchAt(a.at) {
				late++
				w.log("request %s from %s, which is in touch, began on version 1 at %.3f s after the naming", a.id, p.name, after.Seconds())
			}
		}
	}
	w.say("clients' requests by last status: %v", ends)
	w.say("%d requests from machines in touch began on version 1 later than %s after the naming of version 2; the bound is 0", late, versionBound)
	w.finish(late > 0)
}
