package railterms_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/routing/railterms"
)

const target = 400 * time.Millisecond

func TestAFirstTryIsToBeginOnTime(t *testing.T) {
	came := time.Now()
	for _, held := range []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond} {
		terms := railterms.Compute(railterms.FirstTry, target, came, came.Add(held))
		begins := terms.GrantBy.Sub(came) + terms.StartWithin
		qt.Check(t, begins <= target, qt.IsTrue, qt.Commentf("held for %s it may begin after %s", held, begins))
		qt.Check(t, terms.GrantBy.After(came.Add(held)), qt.IsTrue, qt.Commentf("it may wait"))
	}
}

// A caller who is late in any case must not take what others need to be on time, and is told at once.
func TestALaterTryNeedsRoomToSpareAndDoesNotWait(t *testing.T) {
	now := time.Now()
	later, first := railterms.Compute(railterms.ClientRetry, target, now, now), railterms.Compute(railterms.FirstTry, target, now, now)
	qt.Check(t, later.GrantBy, qt.Equals, now)
	qt.Check(t, later.StartWithin < first.GrantBy.Sub(now)+first.StartWithin, qt.IsTrue)
}

func TestARequestThatAnEndpointFailedMayTakeLonger(t *testing.T) {
	now := time.Now()
	again := railterms.Compute(railterms.Failover, target, now.Add(-time.Second), now)
	qt.Check(t, again.GrantBy.After(now), qt.IsTrue)
	qt.Check(t, again.StartWithin, qt.Equals, target)
}
