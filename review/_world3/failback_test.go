package world3

import (
	"sync"
	"time"
)

const (
	// coldBound is cold-per-s x cold-overshoot + cold-slack: 26 x 1.5 + 5.
	coldPerS  = 26
	coldBound = 44
	key       = "jnbanfqasnmgkcuyj8pj"
)

// plainConfig returns a configuration with one plain service whose servers are cold for some time.
func plainConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": "hulo84.example", "prefix": "/boye614/", "kind": "safe", "timeout-ms": 800, "target-latency-ms": 100, "priority": 2,
			"service": "wuno96b", "attempts": 2, "public": false, "sticky": false, "resumable": false, "allowed-regions": []any{},
		}},
		"services": []any{map[string]any{"name": "wuno96b", "health-check-path": "/health", "connection-limit": 110, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": coldPerS}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "bozi300", "api-keys": []any{key}, "priority": 1, "allowed-regions": []any{}}},
	}
}

// failback plays a server that turns cold while clients press, and kills the gateways then.
func failback(w *world) {
	w.store.put("op", "config", plainConfig())
	e := w.newEngine("wuno96b", zones[0], false)
	e.run()
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
	wg.Go(func() {
		for tick := time.NewTicker(time.Second / 120); ; {
			select {
			case <-stop:
				tick.Stop()
				return
			case <-tick.C:
			}
			wg.Go(func() {
				r := request{method: "GET", host: "hulo84.example", path: "/boye614/bo77/2f", key: key, deadline: 1500 * time.Millisecond, retries: 1, safe: true}
				a, _ := r.send(gateways)
				w.log("client's request %s ends with %d %v", a.id, a.status, a.err)
				mu.Lock()
				ends[a.status]++
				mu.Unlock()
			})
		}
	})
	time.Sleep(4 * time.Second)
	cold := time.Now()
	e.mu.Lock()
	e.coldUntil = cold.Add(3 * time.Second)
	e.mu.Unlock()
	e.beat()
	w.log("server %s turns cold", e.id)
	time.Sleep(time.Second)
	for e.countSince(time.Now().Add(-300*time.Millisecond)) < 25 && time.Since(cold) < 2*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	if w.trouble {
		var kills sync.WaitGroup
		for _, p := range gateways[:1] {
			kills.Go(p.killAndRestart)
		}
		kills.Wait()
	}
	time.Sleep(time.Until(cold.Add(3500 * time.Millisecond)))
	close(stop)
	wg.Wait()
	most, at := e.busiestSecond(cold, cold.Add(3*time.Second))
	w.say("clients' requests by last status: %v", ends)
	w.say("the cold server got %d requests in the second from %.3f s on; the bound is %d", most, at.Sub(w.start).Seconds(), coldBound)
	w.finish(most > coldBound)
}

// countSince returns the number of requests that have reached the server since a time.
func (e *engine) countSince(t time.Time) int {
	n := 0
	for _, a := range e.all() {
		if a.at.After(t) {
			n++
		}
	}
	return n
}

// busiestSecond returns the largest number of requests in one second between two times, and the beginning of that second.
func (e *engine) busiestSecond(from, to time.Time) (most int, begin time.Time) {
	var times []time.Time
	for _, a := range e.all() {
		if !a.at.Before(from) && a.at.Before(to) {
			times = append(times, a.at)
		}
	}
	first := 0
	for i := range times {
		for times[i].Sub(times[first]) >= time.Second {
			first++
		}
		if i-first+1 > most {
			most, begin = i-first+1, times[first]
		}
	}
	return most, begin
}
