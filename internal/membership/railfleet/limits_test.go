package railfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// nameLimit lets an endpoint name a limit in a response.
func nameLimit(t *testing.T, f *railfleet.Fleet, req railfleet.Requirements, perSecond float64) {
	t.Helper()
	l, ok := f.Reserve(req)
	qt.Assert(t, ok, qt.IsTrue)
	l.RecordLimit(perSecond)
	l.Done(railfleet.Answered)
}

// Guards against a limit that outlives its instance, or ends while the instance is there.
func TestLimitBelongsToAnInstance(t *testing.T) {
	for name, c := range map[string]struct {
		lists   [][]railinstance.Instance
		limited bool
	}{
		"the same list":                        {[][]railinstance.Instance{{engine("1")}}, true},
		"gone for a moment":                    {[][]railinstance.Instance{{}, {engine("1")}}, true},
		"started again under its ID":           {[][]railinstance.Instance{{startedAgain(engine("1"))}}, false},
		"gone, then started again":             {[][]railinstance.Instance{{}, {startedAgain(engine("1"))}}, false},
		"another endpoint at the same address": {[][]railinstance.Instance{{renamed(engine("1"))}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				f, req := newFleet(1, engine("1"))
				nameLimit(t, f, req, 0.1)
				for _, list := range c.lists {
					f.SetInstances(list)
				}
				_, ok := f.Reserve(req)
				qt.Check(t, ok, qt.Equals, !c.limited)
			})
		})
	}
}

func startedAgain(i railinstance.Instance) railinstance.Instance {
	i.StartMillis++
	return i
}

func renamed(i railinstance.Instance) railinstance.Instance {
	i.ID = "another"
	return i
}

// Guards against a limit that is forgotten because an older request's answer, which names none, arrives after the one that names it.
func TestOvertakenResponseDoesNotEndLimit(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		f, req := newFleet(1, engine("1"))
		overtaken, ok := f.Reserve(req)
		qt.Assert(t, ok, qt.IsTrue)
		time.Sleep(time.Millisecond)
		nameLimit(t, f, req, 0.5)
		overtaken.RecordNoLimit()
		_, ok = f.Reserve(req)
		qt.Check(t, ok, qt.IsFalse)
		time.Sleep(4 * time.Second)
		later, ok := f.Reserve(req)
		qt.Assert(t, ok, qt.IsTrue)
		later.RecordNoLimit()
		_, ok = f.Reserve(req)
		qt.Check(t, ok, qt.IsTrue)
	})
}

// Guards against an endpoint that gets nothing any more because the entries with a share of its limit are gone, and against one that gets
// more than its limit allows because it has been silent.
func TestSilentEndpointGetsALookFromFurtherEntries(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		f, req := newFleet(1, engine("1"))
		var total int
		f.Share = func(_ string, n int) int {
			total = n
			return 0
		}
		req.Backend.ColdPerSecond = 0
		nameLimit(t, f, req, 0)
		start := time.Now()
		for _, c := range []struct {
			after time.Duration
			total int
		}{{time.Second, 1}, {30 * time.Second, 1}, {31 * time.Second, 5}, {599 * time.Second, 5}} {
			time.Sleep(c.after - time.Since(start))
			_, ok := f.Reserve(req)
			qt.Check(t, ok, qt.IsFalse)
			qt.Check(t, total, qt.Equals, c.total, qt.Commentf("after %s", c.after))
		}
		time.Sleep(time.Second)
		_, ok := f.Reserve(req)
		qt.Check(t, ok, qt.IsTrue, qt.Commentf("the limit ends after ten minutes of silence"))
	})
}

// Guards against limits that a restarted entry doesn't learn from the others, and against ends that they don't learn of.
func TestEntriesTellEachOtherOfLimits(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		a, req := newFleet(1, engine("1"))
		b, _ := newFleet(1, engine("1"))
		usable := func() bool { return b.CountUsable(req) == 1 }
		nameLimit(t, a, req, 0.5)
		b.MergeDigest(&railproto.LoadDigest{Entry: "a", Limits: a.ChangedLimits()})
		qt.Check(t, usable(), qt.IsFalse)
		b, _ = newFleet(1, engine("1")) // It has started again.
		qt.Check(t, usable(), qt.IsTrue)
		qt.Check(t, a.ChangedLimits(), qt.HasLen, 0)
		b.MergeDigest(&railproto.LoadDigest{Entry: "a", Limits: a.AllLimits()})
		qt.Check(t, usable(), qt.IsFalse)
		qt.Check(t, b.AllLimits(), qt.HasLen, 0, qt.Commentf("it repeats only what it has heard itself"))
		time.Sleep(4 * time.Second)
		l, ok := a.Reserve(req)
		qt.Assert(t, ok, qt.IsTrue)
		time.Sleep(100 * time.Millisecond)
		l.RecordNoLimit()
		stale := a.AllLimits()
		b.MergeDigest(&railproto.LoadDigest{Entry: "a", Limits: a.ChangedLimits()})
		qt.Check(t, usable(), qt.IsTrue)
		nameLimit(t, b, req, 0.5)
		b.MergeDigest(&railproto.LoadDigest{Entry: "a", Limits: stale})
		qt.Check(t, usable(), qt.IsFalse, qt.Commentf("it has been named since the end"))
		time.Sleep(11 * time.Second)
		qt.Check(t, a.AllLimits(), qt.HasLen, 0)
	})
}

// A limit is told of with the instance that has named it.
func TestLimitOfAnotherInstanceIsIgnored(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		a, req := newFleet(1, engine("1"))
		b, _ := newFleet(1, startedAgain(engine("1")))
		nameLimit(t, a, req, 0.5)
		b.MergeDigest(&railproto.LoadDigest{Entry: "a", Limits: a.ChangedLimits()})
		qt.Check(t, b.CountUsable(req), qt.Equals, 1)
	})
}
