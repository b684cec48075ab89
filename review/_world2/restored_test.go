package world2

import "time"

const (
	// copyLead is how long before the change the copy was made, changeTime the time from the change to the drill, and awayTime how long the store is away.
	copyLead, changeTime, awayTime = time.Second, 6 * time.Second, time.Second
	// restartDelay is the time from the end of the processes to their start.
	restartDelay = 500 * time.Millisecond
	// stableWindow is the bound stable-window-ms, evacuationTime evacuation-ms, outerTime outer-bound-ms and revokeTime revoke-ms.
	stableWindow, evacuationTime, outerTime, revokeTime = 3 * time.Second, 5 * time.Second, 5 * time.Second, 5 * time.Second
	// evacuatedRewrite and revokedRewrite are the times from the store's return until the operator has written its rows again.
	evacuatedRewrite, revokedRewrite = 6 * time.Second, 2 * time.Second
)

// drill lets the store be away for a moment and return from a copy that was made before a time. It returns the time of the return.
func (w *world) drill(before time.Time) time.Time {
	w.store.setAway(true)
	w.say("the store is away")
	time.Sleep(awayTime)
	w.store.restore(before)
	w.say("the store is back from a copy that is %.1f s old", time.Since(before).Seconds())
	return time.Now()
}

// evacuated plays a zone that is taken out of service, and a drill in which the store loses that.
func evacuated(w *world, trouble bool) (bool, error) {
	if err := w.begin(engineCount, 2, usualKey); err != nil {
		return false, err
	}
	t, stop := &tally{}, make(chan struct{})
	go w.load(20, t, usualKey, stop)
	time.Sleep(5 * time.Second)
	copied := time.Now()
	time.Sleep(copyLead)
	w.store.put("op", "evacuate/"+zoneB, map[string]any{})
	acknowledged := time.Now()
	w.say("%s is to be evacuated", zoneB)
	time.Sleep(changeTime)
	back := time.Now()
	if trouble {
		back = w.drill(copied)
	}
	time.Sleep(evacuatedRewrite)
	w.store.put("op", "evacuate/"+zoneB, map[string]any{})
	w.say("the operator has written its rows again")
	rewritten := time.Now()
	time.Sleep(3 * time.Second)
	close(stop)
	time.Sleep(time.Second)
	from := later(acknowledged.Add(evacuationTime+outerTime), back.Add(stableWindow))
	late := 0
	for _, e := range w.engines {
		if e.zone != zoneB {
			continue
		}
		for _, r := range e.runsBetween(from, time.Now()) {
			late++
			w.record("%s ran %s in %s at %.3f s, %.3f s after the evacuation was acknowledged", e.id, r.id, e.zone, r.at.Sub(w.began).Seconds(), r.at.Sub(acknowledged).Seconds())
		}
	}
	w.say("%s; rewritten %.1f s after the return", t, rewritten.Sub(back).Seconds())
	w.say("%d requests reached engines in %s from %.1f s to the end", late, zoneB, from.Sub(w.began).Seconds())
	return late > 0, nil
}

// revoked plays a key that is taken away, and a drill in which the store loses that while all front machines are killed and started again.
func revoked(w *world, trouble bool) (bool, error) {
	const lostKey = "key-that-was-lost"
	if err := w.begin(engineCount, 2, usualKey, lostKey); err != nil {
		return false, err
	}
	usual, lost, stop := &tally{}, &tally{}, make(chan struct{})
	go w.load(20, usual, usualKey, stop)
	go w.load(20, lost, lostKey, stop)
	time.Sleep(5 * time.Second)
	copied := time.Now()
	time.Sleep(copyLead)
	w.store.put("op", "config", operatorConfig(firstConfig+1, usualKey))
	acknowledged := time.Now()
	w.say("a key is taken away")
	time.Sleep(changeTime)
	if trouble {
		w.killFronts()
		w.drill(copied)
		time.Sleep(restartDelay)
		for _, m := range w.frontList() {
			m.start()
		}
		w.say("all front machines are started again")
	}
	time.Sleep(revokedRewrite - restartDelay)
	w.store.put("op", "config", operatorConfig(firstConfig+1, usualKey))
	w.say("the operator has written its rows again")
	time.Sleep(4 * time.Second)
	close(stop)
	time.Sleep(time.Second)
	late := 0
	for _, e := range w.engines {
		for _, r := range e.runsBetween(acknowledged, time.Now()) {
			if s := w.sentBy(r.id); s.key == lostKey && s.at.Sub(acknowledged) > revokeTime {
				late++
				w.record("%s ran %s at %.3f s, sent %.3f s after its key was taken away", e.id, r.id, r.at.Sub(w.began).Seconds(), s.at.Sub(acknowledged).Seconds())
			}
		}
	}
	w.say("usual key: %s; lost key: %s", usual, lost)
	w.say("%d requests ran with a key that was taken away more than %s before they were sent", late, revokeTime)
	return late > 0, nil
}

// killFronts kills the processes of all front machines.
func (w *world) killFronts() {
	for _, m := range w.frontList() {
		m.kill()
	}
	w.say("all front machines were killed")
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
