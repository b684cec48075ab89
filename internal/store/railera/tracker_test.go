package railera_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
	"github.com/fulmarrail/fulmarrail/internal/store/railera"
)

// Guards against a VM list that is taken for complete since the row that would show the era was lost too.
func TestEraMayHaveBegunIfItsRowIsLost(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &railplatform.Platform{}
		tracker := &railera.Tracker{}
		table := tracker.Watch(platform)
		begun := func() bool { return tracker.BegunWithin(t.Context(), platform, "row", 10*time.Second) }
		_, err := table.Put(t.Context(), "row", []byte("1"), 0)
		c.Assert(err, qt.IsNil)
		c.Check(begun(), qt.IsFalse)
		platform.Restore(time.Second)
		c.Check(begun(), qt.IsTrue)
		_, err = table.Put(t.Context(), "row", []byte("1"), 0)
		c.Assert(err, qt.IsNil)
		c.Check(begun(), qt.IsTrue)
		time.Sleep(11 * time.Second)
		c.Check(begun(), qt.IsFalse)
		platform.SetDown(true)
		c.Check(begun(), qt.IsTrue)
	})
}

// Guards against a process that refuses for a time after its start since it doesn't know how long ago the store was restored.
func TestEarliestKnownBeginningOfEraCounts(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tracker := &railera.Tracker{}
		c.Check(tracker.Remaining(time.Minute), qt.Equals, time.Duration(0))
		changed := tracker.Changed()
		tracker.Observe(2, 0)
		<-changed
		c.Check(tracker.Remaining(time.Minute), qt.Equals, time.Minute)
		tracker.Observe(1, time.Hour)
		c.Check(tracker.Remaining(time.Minute), qt.Equals, time.Minute)
		tracker.Observe(2, 40*time.Second)
		tracker.Observe(2, 10*time.Second)
		c.Check(tracker.Remaining(time.Minute), qt.Equals, 20*time.Second)
	})
}
