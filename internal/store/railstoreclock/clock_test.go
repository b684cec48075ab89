package railstoreclock_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/store/railstoreclock"
	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

const second = time.Second

// newClock returns a clock and a function that sets the local time.
func newClock() (*railstoreclock.Clock, func(time.Duration)) {
	local := time.Hour
	return &railstoreclock.Clock{Local: func() time.Duration { return local }}, func(at time.Duration) { local = at }
}

func TestWrittenAfterReturnsLastTimeBeforeVersion(t *testing.T) {
	c, setLocal := newClock()
	qt.Check(t, c.WrittenAfter(9), qt.Equals, time.Duration(0), qt.Commentf("nothing is known"))
	for i, o := range []struct {
		version int64
		at      time.Duration
	}{{10, second}, {10, 2 * second}, {12, 3 * second}, {11, 2500 * time.Millisecond}, {14, 4 * second}} {
		setLocal(time.Hour + time.Duration(i)*second)
		c.Observe(o.version, o.at, time.Hour)
	}
	for version, want := range map[int64]time.Duration{10: 0, 11: 2 * second, 12: 2 * second, 13: 3 * second, 14: 3 * second, 15: 4 * second} {
		qt.Check(t, c.WrittenAfter(version), qt.Equals, want, qt.Commentf("version %d", version))
	}
	c.Observe(20, second, time.Hour)
	qt.Check(t, c.WrittenAfter(15), qt.Equals, time.Duration(0), qt.Commentf("the store's clock was set back"))
	qt.Check(t, c.WrittenAfter(21), qt.Equals, second)
}

// Guards against taking a row of a restored copy for written after the store's responses from before the restore.
func TestRestoredRowHasNoKnownTime(t *testing.T) {
	c, setLocal := newClock()
	c.Observe(railversion.New(1, 50), second, time.Hour)
	setLocal(time.Hour + 3*second)
	c.Observe(railversion.New(2, 40), 4*second, time.Hour+3*second)
	qt.Check(t, c.WrittenAfter(railversion.New(2, 30)), qt.Equals, time.Duration(0), qt.Commentf("a row of the copy"))
	qt.Check(t, c.WrittenAfter(railversion.New(2, 45)), qt.Equals, 4*second)
	c.Observe(railversion.New(1, 51), 5*second, time.Hour+3*second)
	qt.Check(t, c.WrittenAfter(railversion.New(2, 45)), qt.Equals, 4*second, qt.Commentf("a response from before the restore comes late"))
}

// An estimate that is too low would give too low an age.
func TestNowIsNeverTooLow(t *testing.T) {
	const local, offset = time.Hour, 7 * second // The store's clock shows the local time less an hour plus the offset.
	c, setLocal := newClock()
	qt.Check(t, c.Now(), qt.Equals, time.Duration(0))
	setLocal(local + 3*second)
	c.Observe(1, offset, local) // The response took 3 s, or was sent late.
	qt.Check(t, c.Now(), qt.Equals, offset+3*second)
	setLocal(local + 10*second)
	c.Observe(2, offset+10*second, local+10*second-time.Millisecond)
	qt.Check(t, c.Now(), qt.Equals, offset+10*second+time.Millisecond, qt.Commentf("a quick response makes the estimate precise"))
	setLocal(local + 20*second)
	c.Observe(3, offset+15*second, local+15*second) // The response took 5 s.
	qt.Check(t, c.Now() >= offset+20*second, qt.IsTrue)
	qt.Check(t, c.Now() <= offset+20*second+20*time.Millisecond, qt.IsTrue, qt.Commentf("%s", c.Now()))
}

// Guards against an age that counts the time for which the store has delayed its response until a change.
func TestEarliestLocalIsCloseToTimeOfResponse(t *testing.T) {
	const local, offset = time.Hour, 7 * second
	c, setLocal := newClock()
	qt.Check(t, c.EarliestLocal(offset), qt.Equals, time.Duration(0), qt.Commentf("nothing is known"))
	setLocal(local + 10*time.Millisecond)
	c.Observe(1, offset+5*time.Millisecond, local) // 5 ms each way.
	setLocal(local + 4*second)
	c.Observe(2, offset+3*second, local+10*time.Millisecond) // The response was delayed for 3 s, and was on its way for 1 s.
	at := c.EarliestLocal(offset + 3*second)
	qt.Check(t, at <= local+3*second, qt.IsTrue, qt.Commentf("%s", at-local))
	qt.Check(t, at >= local+3*second-20*time.Millisecond, qt.IsTrue, qt.Commentf("%s", at-local))
}

// Guards against taking a response for current that was on its way when the store's clock was set forward or another era began.
func TestEarliestLocalForgetsClockThatWasSet(t *testing.T) {
	const local, offset = time.Hour, 7 * second
	for name, version := range map[string]int64{"same era": 2, "next era": railversion.New(1, 2)} {
		t.Run(name, func(t *testing.T) {
			c, setLocal := newClock()
			c.Observe(1, offset, local)
			setLocal(local + 4*second)
			c.Observe(version, offset+9*second, local+second) // It may have been sent 3 s ago.
			qt.Check(t, c.EarliestLocal(offset+9*second) <= local+second, qt.IsTrue)
		})
	}
}

// Guards against an age that is too low because the store's clock is slower or faster than the local one.
func TestEarliestLocalAllowsForDrift(t *testing.T) {
	for _, rate := range []float64{1 - 0.0009, 1, 1 + 0.0009} {
		c, setLocal := newClock()
		storeNow := func(local time.Duration) time.Duration {
			return (7*second + time.Duration(rate*float64(local-time.Hour))).Truncate(time.Millisecond)
		}
		c.Observe(1, storeNow(time.Hour), time.Hour)
		for i := range 20 {
			sentAt := time.Hour + time.Duration(i)*3*second
			shownAt := sentAt + 2*second
			setLocal(shownAt + 200*time.Millisecond)
			c.Observe(int64(i), storeNow(shownAt), sentAt)
			qt.Check(t, c.EarliestLocal(storeNow(shownAt)) <= shownAt, qt.IsTrue, qt.Commentf("rate %v, response %d", rate, i))
		}
	}
}
