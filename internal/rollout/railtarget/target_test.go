package railtarget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/rollout/railtarget"
)

const (
	copyTime = 2600 * time.Millisecond
	weights  = 8 * time.Second
)

func TestTheOlderVersionGoesFirstWhereEnginesWouldServeNothing(t *testing.T) {
	for name, c := range map[string]struct {
		// rest is what is missing of the older version, after the time since it was named, and apart the time between the two.
		rest, after, apart time.Duration
		want               bool
	}{
		"the newer one comes in time": {1500 * time.Millisecond, 2 * time.Second, time.Second, false},
		"little is missing":           {200 * time.Millisecond, 3 * time.Second, 3 * time.Second, true},
		// The origin went away with a seventh of version 2 missing, version 3 was named, and the origin came back half a second
		// after version 2 was due.
		"the origin is back after the older one is due": {400 * time.Millisecond, 8500 * time.Millisecond, 7 * time.Second, true},
		"the origin is back just before":                {400 * time.Millisecond, 7 * time.Second, 7 * time.Second, true},
		// On the heaviest days of both sites version 2 would have served for less time than version 3 would have come later.
		"the newer one is due soon after":           {400 * time.Millisecond, 8500 * time.Millisecond, 3 * time.Second, false},
		"the newer one is about to be due":          {400 * time.Millisecond, 10500 * time.Millisecond, 3 * time.Second, false},
		"the newer one is due":                      {400 * time.Millisecond, 12 * time.Second, 3 * time.Second, false},
		"most is missing and the newer one follows": {2300 * time.Millisecond, 8 * time.Second, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			older := railtarget.Candidate{FetchTime: c.rest, DueIn: weights - c.after}
			newer := railtarget.Candidate{FetchTime: copyTime, DueIn: weights - c.after + c.apart}
			qt.Check(t, older.Before(newer), qt.Equals, c.want)
		})
	}
}

// What is fetched is not changed again and again: an older version that goes first stays first as it comes in.
func TestTheChoiceStands(t *testing.T) {
	older := railtarget.Candidate{FetchTime: time.Second, DueIn: 500 * time.Millisecond}
	newer := railtarget.Candidate{FetchTime: copyTime, DueIn: 6 * time.Second}
	qt.Assert(t, older.Before(newer), qt.IsTrue)
	for range 19 {
		for _, target := range []*railtarget.Candidate{&older, &newer} {
			target.DueIn -= 50 * time.Millisecond
		}
		older.FetchTime -= 50 * time.Millisecond
		qt.Check(t, older.Before(newer), qt.IsTrue, qt.Commentf("%s missing", older.FetchTime))
	}
}
