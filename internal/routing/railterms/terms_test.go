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
		terms := railterms.For(railterms.First, target, came, came.Add(held))
		begins := terms.Latest.Sub(came) + terms.Within
		qt.Check(t, begins <= target, qt.IsTrue, qt.Commentf("held for %s it may begin after %s", held, begins))
		qt.Check(t, terms.Latest.After(came.Add(held)), qt.IsTrue, qt.Commentf("it may wait"))
	}
}

// A caller who is late in any case must not take what others need to be on time, and is told at once.
func TestALaterTryNeedsRoomToSpareAndDoesNotWait(t *testing.T) {
	now := time.Now()
	later, first := railterms.For(railterms.Later, target, now, now), railterms.For(railterms.First, target, now, now)
	qt.Check(t, later.Latest, qt.Equals, now)
	qt.Check(t, later.Within < first.Latest.Sub(now)+first.Within, qt.IsTrue)
}

func TestARequestThatAnEndpointFailedMayTakeLonger(t *testing.T) {
	now := time.Now()
	again := railterms.For(railterms.Again, target, now.Add(-time.Second), now)
	qt.Check(t, again.Latest.After(now), qt.IsTrue)
	qt.Check(t, again.Within, qt.Equals, target)
}
