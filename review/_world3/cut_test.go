package world3

import (
	"bytes"
	"sync"
	"syscall"
	"time"
)

const (
	freezeTime = 2800 * time.Millisecond
	crashDelay = 200 * time.Millisecond
)

// cut plays servers whose streams end with their connections. A server crashes while a gateway's machine is frozen, and is back before that wakes.
func cut(w *world) {
	engines, _, gateways := modelWorld(w, 6)
	for _, e := range engines {
		e.unframed, e.downTime = true, 2*time.Second
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[int]int{}
	short := 0
	wg.Go(func() {
		tick := time.NewTicker(15 * time.Millisecond)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			wg.Go(func() {
				r := streamRequest(n, "5c1e07a2")
				r.retries = 0
				a, p := r.send(gateways)
				events := bytes.Count(a.body, []byte("\n\n"))
				w.log("client's request %s at %s ends with %d %v and %d events", a.id, p.name, a.status, a.err, events)
				mu.Lock()
				defer mu.Unlock()
				ends[a.status]++
				if a.status == 200 && a.err == nil && a.sealed && events < engines[0].events {
					short++
					w.log("request %s ended as complete after %d of %d events", a.id, events, engines[0].events)
				}
			})
		}
	})
	time.Sleep(5 * time.Second)
	if w.trouble {
		gateways[0].signal(syscall.SIGSTOP)
		time.Sleep(crashDelay)
		engines[0].crash()
		time.Sleep(freezeTime - crashDelay)
		gateways[0].signal(syscall.SIGCONT)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	w.say("clients' requests by status: %v", ends)
	w.say("%d streams ended as complete before their last piece; the bound is 0", short)
	w.finish(short > 0)
}
