package railfleet_test

import (
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	zone  = "a"
	other = "b"
)

// newFleet returns a fleet of engines, and a need that any of them meets.
func newFleet(entries int, list ...railinstance.Instance) (*railfleet.Fleet, railfleet.Requirements) {
	f := &railfleet.Fleet{
		Zone: zone, Region: zone, ColdOvershoot: 1.5, ColdSlack: 5, Share: func(_ string, total int) int { return total / entries }, OnChange: func() {},
		Log: slog.New(slog.DiscardHandler),
	}
	f.SetInstances(list)
	timing := railbackend.Timing{Step: 9 * time.Millisecond, Stride: 5, ReadPerSecond: 19_000, MostRead: 2048}
	return f, railfleet.Requirements{
		Backend:      railbackend.Backend{Name: "engines", ColdPerSecond: 26, Engine: &railbackend.Engine{Slots: 16, Timing: timing}},
		PromptTokens: 1000, StartWithin: 400 * time.Millisecond,
		RegionAllowed: func(string) bool { return true }, ZoneOut: func(string) bool { return false },
	}
}

func engine(id string) railinstance.Instance {
	return railinstance.Instance{ID: id, Service: "engines", Address: "10.0.0.1:" + id, Zone: zone, Region: zone, Slots: 16, WeightsVersion: 1}
}

// taken reserves places until there is none and returns their number by endpoint.
func taken(f *railfleet.Fleet, need railfleet.Requirements) map[string]int {
	count := map[string]int{}
	for {
		l, ok := f.Reserve(need)
		if !ok {
			return count
		}
		count[l.Instance.ID]++
	}
}

func TestOnlyUsableEndpointsAreChosen(t *testing.T) {
	for name, change := range map[string]func(*railinstance.Instance, *railfleet.Requirements){
		"draining":        func(i *railinstance.Instance, _ *railfleet.Requirements) { i.Draining = true },
		"no weights":      func(i *railinstance.Instance, _ *railfleet.Requirements) { i.WeightsVersion = 0 },
		"old weights":     func(_ *railinstance.Instance, n *railfleet.Requirements) { n.MinVersion = 2 },
		"another service": func(i *railinstance.Instance, _ *railfleet.Requirements) { i.Service = "orders" },
		"zone taken out": func(_ *railinstance.Instance, n *railfleet.Requirements) {
			n.ZoneOut = func(z string) bool { return z == zone }
		},
		"region not allowed": func(_ *railinstance.Instance, n *railfleet.Requirements) {
			n.RegionAllowed = func(r string) bool { return r != zone }
		},
		"asked before":        func(_ *railinstance.Instance, n *railfleet.Requirements) { n.Tried = map[string]bool{"1": true} },
		"answer not in time":  func(_ *railinstance.Instance, n *railfleet.Requirements) { n.StartWithin = 100 * time.Millisecond },
		"prompt far too long": func(_ *railinstance.Instance, n *railfleet.Requirements) { n.PromptTokens = 20_000 },
	} {
		t.Run(name, func(t *testing.T) {
			i := engine("1")
			_, need := newFleet(1)
			change(&i, &need)
			f, _ := newFleet(1, i)
			_, ok := f.Reserve(need)
			qt.Check(t, ok, qt.IsFalse)
		})
	}
}

func TestALeavingEndpointGetsNothingOnceItsRowIsGone(t *testing.T) {
	f, need := newFleet(1, engine("1"))
	f.SetInstances(nil)
	_, ok := f.Reserve(need)
	qt.Check(t, ok, qt.IsFalse)
}

// Any endpoint may turn cold at any moment, in the middle of a burst too: all entries together stay below what it bears then.
func TestABurstOverAllEntriesStaysBelowTheColdLimit(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		const entries, bound = 6, 26*1.5 + 5
		sum := 0
		for range entries {
			f, need := newFleet(entries, engine("1"))
			need.PromptTokens = 1 // Reading does not bind.
			for range 40 {
				if l, ok := f.Reserve(need); ok {
					sum++
					l.Started()
					l.Done(railfleet.Answered)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
		qt.Check(t, sum > 0 && sum <= bound, qt.IsTrue, qt.Commentf("%d requests in 0.8 s, at most %v are borne", sum, bound))
	})
}

func TestLoadOfOtherEntriesCounts(t *testing.T) {
	a, need := newFleet(2, engine("1"), engine("2"))
	b, _ := newFleet(2, engine("1"), engine("2"))
	need.Tried = map[string]bool{"2": true}
	for range 5 {
		_, ok := a.Reserve(need)
		qt.Assert(t, ok, qt.IsTrue)
	}
	qt.Assert(t, b.MergeDigest(whole(a)), qt.IsTrue)
	need.Tried = nil
	l, ok := b.Reserve(need)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, l.Instance.ID, qt.Equals, "2")
}

// whole returns what an entry tells of all endpoints, and changes what it tells of those that have changed.
func whole(f *railfleet.Fleet) *railproto.LoadDigest {
	loads, sequence := f.AllLoads()
	return &railproto.LoadDigest{Entry: "a", Sequence: sequence, Loads: loads}
}

func changes(f *railfleet.Fleet) *railproto.LoadDigest {
	loads, sequence := f.ChangedLoads()
	return &railproto.LoadDigest{Entry: "a", Sequence: sequence, Loads: loads, Partial: true}
}

// room returns the number of requests that a fleet gives an engine, and gives them back.
func room(f *railfleet.Fleet, need railfleet.Requirements) int {
	n := 0
	for {
		l, ok := f.Reserve(need)
		if !ok {
			return n
		}
		defer l.Done(railfleet.Answered)
		n++
	}
}

func TestChangesOfLoadArriveInAnyOrder(t *testing.T) {
	a, need := newFleet(1, engine("1"))
	need.Backend.ColdPerSecond = 0
	first, ok := a.Reserve(need)
	qt.Assert(t, ok, qt.IsTrue)
	one := changes(a)
	_, ok = a.Reserve(need)
	qt.Assert(t, ok, qt.IsTrue)
	two := changes(a)
	first.Done(railfleet.Answered)
	back := changes(a)
	all := whole(a)
	qt.Check(t, len(changes(a).GetLoads()), qt.Equals, 0, qt.Commentf("nothing has changed since"))
	alone, _ := newFleet(1, engine("1"))
	empty := room(alone, need)
	for name, c := range map[string]struct {
		digests []*railproto.LoadDigest
		running int
	}{
		"in order":                    {[]*railproto.LoadDigest{one, two, back}, 1},
		"an older one last":           {[]*railproto.LoadDigest{two, back, one}, 1},
		"the second lost":             {[]*railproto.LoadDigest{one, all}, 1},
		"older ones after all":        {[]*railproto.LoadDigest{all, one, two}, 1},
		"the last one lost":           {[]*railproto.LoadDigest{one, two}, 2},
		"nothing in flight at others": {[]*railproto.LoadDigest{one, {Entry: "a", Sequence: 9}}, 0},
		"the entry has started again": {[]*railproto.LoadDigest{one, two, {Entry: "a", Incarnation: 7, Sequence: 0}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b, _ := newFleet(1, engine("1"))
			for _, d := range c.digests {
				b.MergeDigest(d)
			}
			qt.Check(t, room(b, need), qt.Equals, empty-c.running)
		})
	}
}

// An entry without a part of what an engine bears in cold start must not send to it, even if nothing else is in flight there.
func TestAnEntryWithoutAPartSendsNothingToEnginesThatMayBeCold(t *testing.T) {
	f, need := newFleet(1, engine("1"))
	f.Share = func(string, int) int { return 0 }
	qt.Check(t, f.CountUsable(need), qt.Equals, 0)
	_, ok := f.Reserve(need)
	qt.Check(t, ok, qt.IsFalse)
	need.Backend.ColdPerSecond = 0
	_, ok = f.Reserve(need)
	qt.Check(t, ok, qt.IsTrue, qt.Commentf("an endpoint without a cold limit"))
}

// Prompts that are read together pause the answers of an engine.
func TestReadingIsBoundedByThePauseOnTime(t *testing.T) {
	f, need := newFleet(1, engine("1"))
	need.MaxEventGap = 250 * time.Millisecond
	n := taken(f, need)["1"]
	pause := time.Duration(n)*need.Backend.Engine.Timing.ReadTime(need.PromptTokens) + 5*9*time.Millisecond
	qt.Check(t, n > 0 && pause <= need.MaxEventGap, qt.IsTrue, qt.Commentf("%d prompts read together pause the others for %s", n, pause))
}

// Under a steady load of short prompts an engine's queue is as long as they allow, and a long one must get its turn too.
func TestALongPromptIsNotKeptOutByItsLength(t *testing.T) {
	f, need := newFleet(1, engine("1"))
	need.Backend.Engine.UsualPrompt = 1000
	need.StartWithin, need.MaxEventGap = 300*time.Millisecond, 400*time.Millisecond
	_, ok := f.Reserve(need)
	qt.Assert(t, ok, qt.IsTrue)
	need.PromptTokens = 5000
	_, ok = f.Reserve(need)
	qt.Check(t, ok, qt.IsTrue, qt.Commentf("it waits no longer than a usual one"))
}

func TestOnlyShortAnswersGoToAnEngineThatIsAboutToChange(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		f, need := newFleet(1, engine("1"))
		f.ApplyNotice("10.0.0.1:1", 1, 500*time.Millisecond)
		need.AnswerTokens = 260
		_, ok := f.Reserve(need)
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("an answer of 260 tokens outlasts the change"))
		need.AnswerTokens = 20
		_, ok = f.Reserve(need)
		qt.Check(t, ok, qt.IsTrue)
		f.ApplyNotice("10.0.0.1:1", 0, 0)
		_, ok = f.Reserve(need)
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("nothing goes to an engine that loads"))
		f.SetInstances([]railinstance.Instance{engine("1")}) // The list is behind the notice.
		_, ok = f.Reserve(need)
		qt.Check(t, ok, qt.IsFalse)
		f.ApplyNotice("10.0.0.1:1", 2, 0)
		need.MinVersion = 2
		_, ok = f.Reserve(need)
		qt.Check(t, ok, qt.IsTrue)
	})
}

// An answer begins some time after it was sent, and it must not begin on old weights once their time is over.
func TestNothingIsSentToOldWeightsThatWouldBeginTooLate(t *testing.T) {
	railvirtual.Test(t, checkDueWeights)
}

func checkDueWeights(t *testing.T) {
	f, need := newFleet(1, engine("1"))
	need.DueVersion, need.DueAt = 2, time.Now().Add(time.Second)
	l, ok := f.Reserve(need)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, time.Until(l.StartBy) > 0, qt.IsTrue, qt.Commentf("%s", time.Until(l.StartBy)))
	pass := need.Backend.Engine.Timing.LongestPass(need.Backend.Engine.Slots) // An engine begins what it has taken up in its next pass.
	qt.Check(t, pass > 150*time.Millisecond, qt.IsTrue)
	qt.Check(t, l.StartBy.Before(need.DueAt.Add(-pass)), qt.IsTrue, qt.Commentf("%s, a pass takes %s", time.Until(l.StartBy), pass))
	need.PromptTokens, need.DueAt = 4000, time.Now().Add(500*time.Millisecond) // It begins after 0.33 s as predicted, or later.
	_, ok = f.Reserve(need)
	qt.Check(t, ok, qt.IsFalse)
	need.DueVersion = 1
	l, ok = f.Reserve(need)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, l.StartBy.IsZero(), qt.IsTrue)
}

func TestAFailingEndpointIsLeftAndTriedAgain(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		f, need := newFleet(1, engine("1"))
		l, ok := f.Reserve(need)
		qt.Assert(t, ok, qt.IsTrue)
		l.Done(railfleet.Failed)
		_, ok = f.Reserve(need)
		qt.Check(t, ok, qt.IsFalse)
		time.Sleep(time.Second)
		_, ok = f.Reserve(need)
		qt.Check(t, ok, qt.IsTrue)
	})
}

func TestTheOwnZoneIsPreferredAmongEquals(t *testing.T) {
	far := engine("2")
	far.Zone, far.Region = other, other
	f, need := newFleet(1, engine("1"), far)
	l, ok := f.Reserve(need)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, l.Instance.ID, qt.Equals, "1")
}

// An endpoint whose address another one has taken is not asked again and again until the list says so.
func TestAMisdirectedRequestIsNotFollowedByOthersUntilTheEntryChanges(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		i := engine("1")
		f, need := newFleet(1, i)
		l, ok := f.Reserve(need)
		qt.Assert(t, ok, qt.IsTrue)
		l.Done(railfleet.Misdirected)
		time.Sleep(time.Second)
		f.SetInstances([]railinstance.Instance{i})
		_, ok = f.Reserve(need)
		qt.Check(t, ok, qt.IsFalse)
		i.RowVersion++
		f.SetInstances([]railinstance.Instance{i})
		_, ok = f.Reserve(need)
		qt.Check(t, ok, qt.IsTrue)
	})
}

// An engine may start again under the id and address that it had, without its weights and without what was in flight.
func TestAnEndpointThatStartsAgainUnderItsIDIsAnotherOne(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		i := engine("1")
		i.StartMillis = 100
		f, need := newFleet(1, i)
		before := taken(f, need)["1"]
		qt.Assert(t, before > 0, qt.IsTrue)
		f.ApplyNotice(i.Address, 2, 0)
		i.StartMillis, i.WeightsVersion = 200, 0
		f.SetInstances([]railinstance.Instance{i})
		_, ok := f.Reserve(need)
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("what was told of the former start does not count"))
		i.WeightsVersion = 2
		f.SetInstances([]railinstance.Instance{i})
		qt.Check(t, taken(f, need)["1"], qt.Equals, before)
	})
}
