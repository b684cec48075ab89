package railfetchorder_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/rollout/railfetchorder"
)

const (
	fullFetchTime = 2600 * time.Millisecond
	rolloutTime   = 8 * time.Second
)

func TestOlderVersionFirstWhereEnginesWouldServeNothing(t *testing.T) {
	for name, c := range map[string]struct {
		// remaining is the older version's remaining fetch time, age the time since it was requested, and interval the time from
		// then until the newer version was requested.
		remaining, age, interval time.Duration
		want                     bool
	}{
		"the newer one comes in time": {1500 * time.Millisecond, 2 * time.Second, time.Second, false},
		"little is missing":           {200 * time.Millisecond, 3 * time.Second, 3 * time.Second, true},
		// The origin failed with a seventh of version 2 missing, version 3 was requested, and the origin recovered half a second
		// after version 2 was due.
		"the origin is back after the older one is due": {400 * time.Millisecond, 8500 * time.Millisecond, 7 * time.Second, true},
		"the origin is back just before":                {400 * time.Millisecond, 7 * time.Second, 7 * time.Second, true},
		// Under the heaviest load of both sites, version 2 would have served for less time than it would have delayed version 3.
		"the newer one is due soon after":           {400 * time.Millisecond, 8500 * time.Millisecond, 3 * time.Second, false},
		"the newer one is about to be due":          {400 * time.Millisecond, 10500 * time.Millisecond, 3 * time.Second, false},
		"the newer one is due":                      {400 * time.Millisecond, 12 * time.Second, 3 * time.Second, false},
		"most is missing and the newer one follows": {2300 * time.Millisecond, 8 * time.Second, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			older := railfetchorder.Candidate{FetchTime: c.remaining, DueIn: rolloutTime - c.age}
			newer := railfetchorder.Candidate{FetchTime: fullFetchTime, DueIn: rolloutTime - c.age + c.interval}
			qt.Check(t, older.Before(newer), qt.Equals, c.want)
		})
	}
}

// Guards against flapping between versions: an older version that is fetched first stays first until it is complete.
func TestOlderVersionStaysFirstWhileFetching(t *testing.T) {
	older := railfetchorder.Candidate{FetchTime: time.Second, DueIn: 500 * time.Millisecond}
	newer := railfetchorder.Candidate{FetchTime: fullFetchTime, DueIn: 6 * time.Second}
	qt.Assert(t, older.Before(newer), qt.IsTrue)
	for range 19 {
		for _, candidate := range []*railfetchorder.Candidate{&older, &newer} {
			candidate.DueIn -= 50 * time.Millisecond
		}
		older.FetchTime -= 50 * time.Millisecond
		qt.Check(t, older.Before(newer), qt.IsTrue, qt.Commentf("%s missing", older.FetchTime))
	}
}
