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

// untilExpiry returns a time for which the follower may wait, but at most the time until kept rows expire.
func (f *Follower) untilExpiry(wait time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if expiry, ok := f.rows.nextExpiry(f.Now()); ok {
		return min(wait, expiry)
	}
	return wait
}
