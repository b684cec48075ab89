package world3

import (
	"sync"
	"time"
)

const (
	// drainBound is the bound drain-ms.
	drainBound = 2 * time.Second
	// lateTime is the least time after which the write that gets no answer is done: just after the server's next regular beat then.
	lateTime = 3 * time.Second
)

// leaving plays a server that leaves. The write of its last beat before that gets no answer, and is done seconds later.
func leaving(w *world) {
	cfg := plainConfig()
	cfg["services"].([]any)[0].(map[string]any)["cold-per-s"] = 0.0
	w.store.put("op", "config", cfg)
	engines := []*engine{w.newEngine("wuno96b", zones[0], false), w.newEngine("wuno96b", zones[1], false)}
	for _, e := range engines {
		e.run()
	}
	gateways := []*proc{w.newGateway(zones[0], "front-leinster-a-1"), w.newGateway(zones[1], "front-munster-a-1")}
	for _, p := range gateways {
		p.run()
	}
	w.balance(gateways)
	w.awaitReady(gateways)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[int]int{}
	sent := map[string]answer{}
	takers := map[string]*proc{}
	wg.Go(func() {
		for tick := time.NewTicker(time.Second / 60); ; {
			select {
			case <-stop:
				tick.Stop()
				return
			case <-tick.C:
			}
			wg.Go(func() {
				r := request{method: "GET", host: "hulo84.example", path: "/boye614/bo77/2f", key: key, deadline: 1500 * time.Millisecond, retries: 0, safe: true}
				a, p := r.send(gateways)
				w.log("client's request %s at %s ends with %d %v", a.id, p.name, a.status, a.err)
				mu.Lock()
				defer mu.Unlock()
				ends[a.status]++
				sent[a.id], takers[a.id] = a, p
			})
		}
	})
	time.Sleep(4 * time.Second)
	e := engines[0]
	if w.trouble {
		e.mu.Lock()
		sinceStart := time.Since(time.UnixMilli(e.born))
		e.lateBeat = (sinceStart + lateTime).Truncate(heartbeat) + heartbeat + 50*time.Millisecond - sinceStart
		e.mu.Unlock()
		e.beat()
	}
	time.Sleep(100 * time.Millisecond)
	e.leave()
	time.Sleep(7 * time.Second)
	close(stop)
	wg.Wait()
	// passedOn holds the time from which each machine has passed on an answer with Server-Leaving to a client.
	passedOn := map[*proc]time.Time{}
	late := 0
	for _, a := range e.all() {
		p := takers[a.id]
		if p == nil || !a.ran {
			continue
		}
		if done := sent[a.id].doneAt; a.leaving && sent[a.id].status == 200 && (passedOn[p].IsZero() || done.Before(passedOn[p])) {
			passedOn[p] = done
		}
	}
	for _, a := range e.all() {
		p := takers[a.id]
		if p == nil || passedOn[p].IsZero() {
			continue
		}
		if after := sent[a.id].sentAt.Sub(passedOn[p]); after > drainBound {
			late++
			w.log("request %s, sent %.3f s after %s had passed on an answer with Server-Leaving, has reached %s", a.id, after.Seconds(), p.name, a.instance)
		}
	}
	w.say("clients' requests by status: %v; machines that had passed on an answer with Server-Leaving: %d", ends, len(passedOn))
	w.say("%d requests that were sent over %s after that have reached the server; the bound is 0", late, drainBound)
	w.finish(late > 0)
}
