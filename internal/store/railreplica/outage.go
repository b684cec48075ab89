package railreplica

import "time"

// minLapseTime is the shortest outage of the store after which rows may be missing only since their writers could not renew them.
const minLapseTime = 2 * time.Second

// endsOutage reports whether a response that was current at the given time is the first one after an outage that has let rows lapse. The
// delay between two requests is no outage.
func (f *Follower) endsOutage(confirmedAt, now time.Duration) bool {
	lapseTime := f.Wait + minLapseTime
	return f.loaded && now-f.confirmedAt >= lapseTime && (f.unanswered || now-confirmedAt >= lapseTime)
}

// setUnanswered records that a request has failed or was abandoned.
func (f *Follower) setUnanswered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unanswered = true
}
