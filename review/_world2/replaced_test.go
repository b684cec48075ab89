package world2

import (
	"sync"
	"time"
)

const (
	// usualTime is how long clients are served before anything happens, and measureTime how long they are after the recovery.
	usualTime, measureTime = 15 * time.Second, 10 * time.Second
	// recoveryTime is the bound recovery-s, and downTime the time for which the final fault lasts.
	recoveryTime, downTime = 12 * time.Second, time.Second
	requestsPerSecond      = 60
	frontCount             = 4
	engineCount            = 4
	// replacementsEach is how often each front machine is replaced, and lifeTime how long each one stays.
	replacementsEach, lifeTime = 30, 800 * time.Millisecond
	minServed                  = 0.25
)

// replaced plays a deployment whose front machines are replaced by others at new addresses again and again, and then a final fault: all processes are
// killed and started again.
func replaced(w *world, trouble bool) (bool, error) {
	if err := w.begin(engineCount, frontCount, usualKey); err != nil {
		return false, err
	}
	w.say("%d front machines are ready, %d engines serve", frontCount, engineCount)
	before, after := &tally{}, &tally{}
	stop := make(chan struct{})
	go w.load(requestsPerSecond, before, usualKey, stop)
	time.Sleep(usualTime)
	w.say("usual traffic: %s", before)
	if trouble {
		if err := w.replaceFronts(); err != nil {
			return false, err
		}
	}
	close(stop)
	w.say("%d front machines exist, the system has %d rows of them in the store", len(w.frontList()), w.store.count("entries"))
	w.say("before the final fault: %s", before)
	w.killAll()
	time.Sleep(downTime)
	for _, m := range append(w.frontList(), w.sides...) {
		m.start()
	}
	w.say("all processes were killed and are started again")
	time.Sleep(recoveryTime)
	readyCount := 0
	for _, m := range w.frontList() {
		if w.ready(m) {
			readyCount++
		}
	}
	w.say("%d of %d front machines say that they are ready", readyCount, frontCount)
	stop = make(chan struct{})
	go w.load(requestsPerSecond, after, usualKey, stop)
	time.Sleep(measureTime)
	close(stop)
	time.Sleep(clientDeadline)
	w.say("after the recovery: %s", after)
	w.say("served before %.3f, after %.3f, bound %.2f", before.share(), after.share(), minServed)
	return before.share() >= minServed && after.share() < minServed, nil
}

// replaceFronts replaces each front machine, one after the other, by a new one with the same role at a new address. A machine is removed once its
// successor is ready.
func (w *world) replaceFronts() error {
	var wg sync.WaitGroup
	for lane, m := range w.frontList() {
		wg.Go(func() {
			for i := 1; i <= replacementsEach; i++ {
				time.Sleep(lifeTime)
				next := w.newFront(lane + i*frontCount)
				w.addFront(next)
				if !w.awaitReady(next, 5*time.Second) {
					w.say("%s did not become ready in time", next.name)
				}
				w.removeFront(m)
				m = next
			}
		})
	}
	wg.Wait()
	return nil
}
