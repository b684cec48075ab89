package railtarget

import "time"

const (
	// spread is the time from the origin's last chunk until the agents have passed it on to all of them.
	spread = 600 * time.Millisecond
	// loading is the time from there until an engine serves the weights, its order and their reading back included.
	loading = 500 * time.Millisecond
	// nearlyThere is the time to fetch the rest of an older version up to which it is fetched in any case: the engines can change
	// over to it should the newer one be late.
	nearlyThere = 300 * time.Millisecond
	// worthwhile is the least gain for which the newer version waits.
	worthwhile = 200 * time.Millisecond
)

// Version is a version of weights that was named.
type Version struct {
	Number int64
	// Due is the time until no answer may begin on older weights.
	DueIn time.Duration
}

// Candidate is a version of weights that is not there whole.
type Candidate struct {
	// Fetch is the time that what is missing of it takes on the link.
	FetchTime time.Duration
	// Due is the time until no answer may begin on weights older than it.
	DueIn time.Duration
}

// Before reports whether this version is to be fetched before a newer one: when engines would serve nothing for less time, since
// the newer one can't be there by the time this one is due.
func (t Candidate) Before(newer Candidate) bool {
	ready := t.FetchTime + spread + loading
	if ready >= newer.DueIn {
		return false
	}
	if t.FetchTime <= nearlyThere {
		return true
	}
	newerOnly := gap(newer.FetchTime+spread+loading, t.DueIn)
	both := gap(ready, t.DueIn) + gap(ready+newer.FetchTime+spread, newer.DueIn)
	return both+worthwhile < newerOnly
}

// gap returns the time for which nothing serves when weights are ready at a time and those before them are due at another.
func gap(ready, due time.Duration) time.Duration {
	return max(ready-max(due, 0), 0)
}
