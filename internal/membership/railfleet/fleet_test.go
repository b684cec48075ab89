package railfleet_test

import (
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	zone      = "a"
	otherZone = "b"
)

// newFleet returns a fleet of engines, and the requirements of a request that any of them can serve.
func newFleet(entries int, list ...railinstance.Instance) (*railfleet.Fleet, railfleet.Requirements) {
	f := &railfleet.Fleet{
		Zone: zone, Region: zone, ColdOvershoot: 1.5, ColdSlack: 5, Share: func(_ string, total int) int { return total / entries }, OnChange: func() {},
		Log: slog.New(slog.DiscardHandler),
	}
	f.SetInstances(list)
	timing := railbackend.Timing{StepTime: 9 * time.Millisecond, StepsPerPass: 5, PrefillTokensPerSecond: 19_000, MaxPrefillTokens: 2048}
	return f, railfleet.Requirements{
		Backend:      railbackend.Backend{Name: "engines", ColdPerSecond: 26, Engine: &railbackend.Engine{Slots: 16, Timing: timing}},
		PromptTokens: 1000, StartWithin: 400 * time.Millisecond,
		RegionAllowed: func(string) bool { return true }, ZoneOut: func(string) bool { return false },
	}
}

func engine(id string) railinstance.Instance {
	return railinstance.Instance{ID: id, Service: "engines", Address: "10.0.0.1:" + id, Zone: zone, Region: zone, Slots: 16, WeightsVersion: 1}
}

// reserveAll reserves until no endpoint has capacity left and returns the number of leases by endpoint.
func reserveAll(f *railfleet.Fleet, req railfleet.Requirements) map[string]int {
	count := map[string]int{}
	for {
		l, ok := f.Reserve(req)
		if !ok {
			return count
		}
		count[l.Instance.ID]++
	}
}

func TestReserveSkipsUnusableEndpoints(t *testing.T) {
	for name, change := range map[string]func(*railinstance.Instance, *railfleet.Requirements){
		"draining":        func(i *railinstance.Instance, _ *railfleet.Requirements) { i.Draining = true },
		"no weights":      func(i *railinstance.Instance, _ *railfleet.Requirements) { i.WeightsVersion = 0 },
		"old weights":     func(_ *railinstance.Instance, req *railfleet.Requirements) { req.MinVersion = 2 },
		"another service": func(i *railinstance.Instance, _ *railfleet.Requirements) { i.Service = "orders" },
		"zone taken out": func(_ *railinstance.Instance, req *railfleet.Requirements) {
			req.ZoneOut = func(z string) bool { return z == zone }
		},
		"region not allowed": func(_ *railinstance.Instance, req *railfleet.Requirements) {
			req.RegionAllowed = func(r string) bool { return r != zone }
		},
		"asked before":        func(_ *railinstance.Instance, req *railfleet.Requirements) { req.Tried = map[string]bool{"1": true} },
		"answer not in time":  func(_ *railinstance.Instance, req *railfleet.Requirements) { req.StartWithin = 100 * time.Millisecond },
		"prompt far too long": func(_ *railinstance.Instance, req *railfleet.Requirements) { req.PromptTokens = 20_000 },
	} {
		t.Run(name, func(t *testing.T) {
			i := engine("1")
			_, req := newFleet(1)
			change(&i, &req)
			f, _ := newFleet(1, i)
			_, ok := f.Reserve(req)
			qt.Check(t, ok, qt.IsFalse)
		})
	}
}

func TestReserveSkipsEndpointRemovedFromList(t *testing.T) {
	f, req := newFleet(1, engine("1"))
	f.SetInstances(nil)
	_, ok := f.Reserve(req)
	qt.Check(t, ok, qt.IsFalse)
}

// Guards against overloading an endpoint that turns cold in the middle of a burst: all entries together must stay below its cold
// limit at any time.
func TestBurstFromAllEntriesStaysBelowColdLimit(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		const entries, bound = 6, 26*1.5 + 5
		sum := 0
		for range entries {
			f, req := newFleet(entries, engine("1"))
			req.PromptTokens = 1 // Prompt processing is not the bottleneck.
			for range 40 {
				if l, ok := f.Reserve(req); ok {
					sum++
					l.Started()
					l.Done(railfleet.Answered)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
		qt.Check(t, sum > 0 && sum <= bound, qt.IsTrue, qt.Commentf("%d requests in 0.8 s, the limit is %v", sum, bound))
	})
}

func TestReserveCountsLoadOfOtherEntries(t *testing.T) {
	a, req := newFleet(2, engine("1"), engine("2"))
	b, _ := newFleet(2, engine("1"), engine("2"))
	req.Tried = map[string]bool{"2": true}
	for range 5 {
		_, ok := a.Reserve(req)
		qt.Assert(t, ok, qt.IsTrue)
	}
	qt.Assert(t, b.MergeDigest(fullDigest(a)), qt.IsTrue)
	req.Tried = nil
	l, ok := b.Reserve(req)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, l.Instance.ID, qt.Equals, "2")
}

// fullDigest returns an entry's load at all endpoints, and deltaDigest its load at those where it has changed.
func fullDigest(f *railfleet.Fleet) *railproto.LoadDigest {
	loads, sequence := f.AllLoads()
	return &railproto.LoadDigest{Entry: "a", Sequence: sequence, Loads: loads}
}

func deltaDigest(f *railfleet.Fleet) *railproto.LoadDigest {
	loads, sequence := f.ChangedLoads()
	return &railproto.LoadDigest{Entry: "a", Sequence: sequence, Loads: loads, Partial: true}
}

// countReservable returns the number of requests that a fleet has capacity for, and releases their leases.
func countReservable(f *railfleet.Fleet, req railfleet.Requirements) int {
	n := 0
	for {
		l, ok := f.Reserve(req)
		if !ok {
			return n
		}
		defer l.Done(railfleet.Answered)
		n++
	}
}

func TestMergeDigestAcceptsAnyOrder(t *testing.T) {
	a, req := newFleet(1, engine("1"))
	req.Backend.ColdPerSecond = 0
	first, ok := a.Reserve(req)
	qt.Assert(t, ok, qt.IsTrue)
	firstSent := deltaDigest(a)
	_, ok = a.Reserve(req)
	qt.Assert(t, ok, qt.IsTrue)
	secondSent := deltaDigest(a)
	first.Done(railfleet.Answered)
	firstDone := deltaDigest(a)
	full := fullDigest(a)
	qt.Check(t, len(deltaDigest(a).GetLoads()), qt.Equals, 0, qt.Commentf("nothing has changed since"))
	idle, _ := newFleet(1, engine("1"))
	idleCapacity := countReservable(idle, req)
	for name, c := range map[string]struct {
		digests []*railproto.LoadDigest
		running int
	}{
		"in order":                    {[]*railproto.LoadDigest{firstSent, secondSent, firstDone}, 1},
		"an older one last":           {[]*railproto.LoadDigest{secondSent, firstDone, firstSent}, 1},
		"the second lost":             {[]*railproto.LoadDigest{firstSent, full}, 1},
		"older ones after all":        {[]*railproto.LoadDigest{full, firstSent, secondSent}, 1},
		"the last one lost":           {[]*railproto.LoadDigest{firstSent, secondSent}, 2},
		"nothing in flight at others": {[]*railproto.LoadDigest{firstSent, {Entry: "a", Sequence: 9}}, 0},
		"the entry has started again": {[]*railproto.LoadDigest{firstSent, secondSent, {Entry: "a", Incarnation: 7, Sequence: 0}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b, _ := newFleet(1, engine("1"))
			for _, d := range c.digests {
				b.MergeDigest(d)
			}
			qt.Check(t, countReservable(b, req), qt.Equals, idleCapacity-c.running)
		})
	}
}

// An entry whose share of an engine's cold limit is 0 must not send to it, even if the engine has no requests in flight.
func TestEntryWithoutColdShareSendsNothingToEngines(t *testing.T) {
	f, req := newFleet(1, engine("1"))
	f.Share = func(string, int) int { return 0 }
	qt.Check(t, f.CountUsable(req), qt.Equals, 0)
	_, ok := f.Reserve(req)
	qt.Check(t, ok, qt.IsFalse)
	req.Backend.ColdPerSecond = 0
	_, ok = f.Reserve(req)
	qt.Check(t, ok, qt.IsTrue, qt.Commentf("an endpoint without a cold limit"))
}

// Prompts that are processed together pause the responses that an engine is generating.
func TestPromptProcessingStaysWithinMaxEventGap(t *testing.T) {
	f, req := newFleet(1, engine("1"))
	req.MaxEventGap = 250 * time.Millisecond
	n := reserveAll(f, req)["1"]
	pause := time.Duration(n)*req.Backend.Engine.Timing.PrefillTime(req.PromptTokens) + 5*9*time.Millisecond
	qt.Check(t, n > 0 && pause <= req.MaxEventGap, qt.IsTrue, qt.Commentf("%d prompts processed together pause the other answers for %s", n, pause))
}

// Guards against starvation of long prompts: a steady load of short prompts keeps an engine's queue as long as their limits allow,
// and a long prompt must still be accepted.
func TestLongPromptIsNotStarvedByItsLength(t *testing.T) {
	f, req := newFleet(1, engine("1"))
	req.Backend.Engine.MeanPromptTokens = 1000
	req.StartWithin, req.MaxEventGap = 300*time.Millisecond, 400*time.Millisecond
	_, ok := f.Reserve(req)
	qt.Assert(t, ok, qt.IsTrue)
	req.PromptTokens = 5000
	_, ok = f.Reserve(req)
	qt.Check(t, ok, qt.IsTrue, qt.Commentf("a long prompt waits no longer than a usual one"))
}

func TestReserveAllowsOnlyShortAnswersBeforeWeightsChange(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		f, req := newFleet(1, engine("1"))
		f.ApplyNotice("10.0.0.1:1", 1, 500*time.Millisecond)
		req.OutputTokens = 260
		_, ok := f.Reserve(req)
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("an answer of 260 tokens ends after the weights change"))
		req.OutputTokens = 20
		_, ok = f.Reserve(req)
		qt.Check(t, ok, qt.IsTrue)
		f.ApplyNotice("10.0.0.1:1", 0, 0)
		_, ok = f.Reserve(req)
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("an engine that is loading weights gets no requests"))
		f.SetInstances([]railinstance.Instance{engine("1")}) // The list is older than the notice.
		_, ok = f.Reserve(req)
		qt.Check(t, ok, qt.IsFalse)
		f.ApplyNotice("10.0.0.1:1", 2, 0)
		req.MinVersion = 2
		_, ok = f.Reserve(req)
		qt.Check(t, ok, qt.IsTrue)
	})
}

// A response starts some time after its request was sent, and it must not start on old weights after the due time.
func TestReserveRejectsOldWeightsThatWouldStartAfterDueTime(t *testing.T) {
	railvirtualtime.Test(t, checkDueWeights)
}

func checkDueWeights(t *testing.T) {
	f, req := newFleet(1, engine("1"))
	req.DueVersion, req.DueAt = 2, time.Now().Add(time.Second)
	l, ok := f.Reserve(req)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, time.Until(l.StartBy) > 0, qt.IsTrue, qt.Commentf("%s", time.Until(l.StartBy)))
	pass := req.Backend.Engine.Timing.MaxPassTime(req.Backend.Engine.Slots) // An engine starts accepted requests in its next pass.
	qt.Check(t, pass > 150*time.Millisecond, qt.IsTrue)
	qt.Check(t, l.StartBy.Before(req.DueAt.Add(-pass)), qt.IsTrue, qt.Commentf("%s, a pass takes %s", time.Until(l.StartBy), pass))
	req.PromptTokens, req.DueAt = 4000, time.Now().Add(500*time.Millisecond) // The predicted start is after 0.33 s; it may be later.
	_, ok = f.Reserve(req)
	qt.Check(t, ok, qt.IsFalse)
	req.DueVersion = 1
	l, ok = f.Reserve(req)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, l.StartBy.IsZero(), qt.IsTrue)
}

func TestFailedEndpointIsRetriedAfterBackoff(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		f, req := newFleet(1, engine("1"))
		l, ok := f.Reserve(req)
		qt.Assert(t, ok, qt.IsTrue)
		l.Done(railfleet.Failed)
		_, ok = f.Reserve(req)
		qt.Check(t, ok, qt.IsFalse)
		time.Sleep(time.Second)
		_, ok = f.Reserve(req)
		qt.Check(t, ok, qt.IsTrue)
	})
}

// Guards against sending request after request to an endpoint that is silent, since those that it has are kept there.
func TestSilentEndpointGetsNoFurtherRequestsForAWhile(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		f, req := newFleet(1, engine("1"))
		l, ok := f.Reserve(req)
		qt.Assert(t, ok, qt.IsTrue)
		l.Silent()
		_, ok = f.Reserve(req)
		qt.Check(t, ok, qt.IsFalse)
		time.Sleep(time.Second)
		_, ok = f.Reserve(req)
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, f.Snapshot()[0].InFlight, qt.Equals, 2)
	})
}

func TestOwnZoneIsPreferredAtEqualLoad(t *testing.T) {
	remote := engine("2")
	remote.Zone, remote.Region = otherZone, otherZone
	f, req := newFleet(1, engine("1"), remote)
	l, ok := f.Reserve(req)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, l.Instance.ID, qt.Equals, "1")
}

// Guards against repeated requests to an address that another endpoint has taken over, before the list shows the change.
func TestMisdirectedEndpointIsAvoidedUntilItsRowChanges(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		i := engine("1")
		f, req := newFleet(1, i)
		l, ok := f.Reserve(req)
		qt.Assert(t, ok, qt.IsTrue)
		l.Done(railfleet.Misdirected)
		time.Sleep(time.Second)
		f.SetInstances([]railinstance.Instance{i})
		_, ok = f.Reserve(req)
		qt.Check(t, ok, qt.IsFalse)
		i.RowVersion++
		f.SetInstances([]railinstance.Instance{i})
		_, ok = f.Reserve(req)
		qt.Check(t, ok, qt.IsTrue)
	})
}

// An engine may restart with the same ID and address, without its weights and without its earlier requests in flight.
func TestRestartedEndpointStartsWithFreshState(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		i := engine("1")
		i.StartMillis = 100
		f, req := newFleet(1, i)
		before := reserveAll(f, req)["1"]
		qt.Assert(t, before > 0, qt.IsTrue)
		f.ApplyNotice(i.Address, 2, 0)
		i.StartMillis, i.WeightsVersion = 200, 0
		f.SetInstances([]railinstance.Instance{i})
		_, ok := f.Reserve(req)
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("a notice from before the restart does not count"))
		i.WeightsVersion = 2
		f.SetInstances([]railinstance.Instance{i})
		qt.Check(t, reserveAll(f, req)["1"], qt.Equals, before)
	})
}
