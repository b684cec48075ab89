package raildeadline_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/routing/raildeadline"
)

const target = 400 * time.Millisecond

func TestFirstTryStartsWithinTarget(t *testing.T) {
	arrival := time.Now()
	for _, elapsed := range []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond} {
		deadlines := raildeadline.Compute(raildeadline.FirstTry, target, arrival, arrival.Add(elapsed))
		start := deadlines.GrantBy.Sub(arrival) + deadlines.StartWithin
		qt.Check(t, start <= target, qt.IsTrue, qt.Commentf("after a delay of %s the response may start after %s", elapsed, start))
		qt.Check(t, deadlines.GrantBy.After(arrival.Add(elapsed)), qt.IsTrue, qt.Commentf("the request may wait"))
	}
}

// The response to a client retry is late in any case, so the retry must not take capacity that others need to be on time, and is
// rejected immediately.
func TestClientRetryNeedsSpareCapacityAndDoesNotWait(t *testing.T) {
	now := time.Now()
	retry, first := raildeadline.Compute(raildeadline.ClientRetry, target, now, now), raildeadline.Compute(raildeadline.FirstTry, target, now, now)
	qt.Check(t, retry.GrantBy, qt.Equals, now)
	qt.Check(t, retry.StartWithin < first.GrantBy.Sub(now)+first.StartWithin, qt.IsTrue)
}

func TestFailoverMayTakeTheWholeTarget(t *testing.T) {
	now := time.Now()
	failover := raildeadline.Compute(raildeadline.Failover, target, now.Add(-time.Second), now)
	qt.Check(t, failover.GrantBy.After(now), qt.IsTrue)
	qt.Check(t, failover.StartWithin, qt.Equals, target)
}
