package railcluster_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/config/railservice"
	"github.com/fulmarrail/fulmarrail/internal/lab/railcluster"
	"github.com/fulmarrail/fulmarrail/internal/node/railrouter"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/standin/raildesk"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

const (
	inForceGoal  = 2 * time.Second
	zoneGoal     = 2 * time.Second
	configFaults = 20
	freshGoal    = 7 * time.Second
)

// weightOf returns the weight of the customer castle, by which a test numbers the states of a file.
func weightOf(r *railrouter.Router) int {
	revision, _ := r.Revision()
	customer, _ := revision.Spec().Customer("castle")
	return customer.Weight
}

func TestConfigurationNeverRevertsUnderFaults(t *testing.T) {
	for seed := range 20 {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runConfiguration(t, uint64(seed)) })
	}
}

// staleViews lets some entries see a folder of an earlier moment.
type staleViews struct {
	mu    sync.Mutex
	old   railfolder.Folder
	stale map[string]bool
}

// set gives the named entries an old view of the folder from now on, and all others the folder itself.
func (v *staleViews) set(old railfolder.Folder, entries ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.old, v.stale = old, map[string]bool{}
	for _, name := range entries {
		v.stale[name] = true
	}
}

func (v *staleViews) view(o *orders, entry string) func() (railfolder.Folder, error) {
	return func() (railfolder.Folder, error) {
		v.mu.Lock()
		defer v.mu.Unlock()
		if v.stale[entry] {
			return v.old, nil
		}
		return o.Folder()
	}
}

// runConfiguration lets an operator number the states of a file while publishers freeze, see old folders and lose
// answers; no entry may ever go back to a lower number.
func runConfiguration(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	views := &staleViews{}
	o := &orders{seed: seed, views: views.view}
	o.run(t, &railplatform.Platform{Seed: seed}, func(ctx context.Context, c *qt.C) {
		o.Network.SetResets(0.2, 4000)
		watching, stopWatching := context.WithCancel(ctx)
		var wg sync.WaitGroup
		for name, r := range o.routers {
			wg.Go(func() { watchNumbers(watching, t, seed, name, r) })
		}
		for state := 1; state <= configFaults; state++ {
			o.disturbPublishing(views, random, state)
		}
		o.Platform.SetResponseLoss(0)
		o.Platform.SetDown(false)
		o.Platform.SetDelay(0)
		views.set(railfolder.Folder{})
		time.Sleep(5 * time.Second)
		for name, r := range o.routers {
			c.Check(weightOf(r), qt.Equals, configFaults, qt.Commentf("seed %d: %s", seed, name))
		}
		stopWatching()
		wg.Wait()
	})
}

// disturbPublishing writes one state of the folder while the platform, the views or one entry's way to the platform fail.
func (o *orders) disturbPublishing(views *staleViews, random *rand.Rand, state int) {
	entry := "entry-" + zones[random.IntN(3)]
	old, _ := o.Folder()
	if random.IntN(2) == 0 {
		views.set(old, entry)
	} else {
		views.set(old)
	}
	o.Platform.SetResponseLoss([]float64{0, 0.5}[random.IntN(2)])
	o.Platform.SetDown(random.IntN(5) == 0)
	o.Platform.SetDelay(time.Duration(random.IntN(3)) * 300 * time.Millisecond)
	o.SetEntryPartitioned(entry, random.IntN(4) == 0)
	// Two operators race over the same key: the later file wins whatever the order of the writes.
	o.WriteFile("20.ini", fmt.Sprintf("[customer castle]\nweight = %d\n", state))
	if random.IntN(3) == 0 {
		o.WriteFile("15.ini", "[customer castle]\nweight = 1000\n")
	}
	time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
	o.SetEntryPartitioned(entry, false)
}

func watchNumbers(ctx context.Context, t *testing.T, seed uint64, name string, r *railrouter.Router) {
	highest, number := 0, uint64(0)
	for ctx.Err() == nil {
		revision, _ := r.Revision()
		if revision.Number < number {
			t.Errorf("seed %d: %s went from revision %d to %d", seed, name, number, revision.Number)
		}
		number = revision.Number
		if w := weightOf(r); w < highest {
			t.Errorf("seed %d: %s went back from state %d to %d in revision %d", seed, name, highest, w, number)
		} else {
			highest = w
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestChangeIsInForceEverywhereWithinItsGoal(t *testing.T) {
	o := &orders{}
	o.run(t, &railplatform.Platform{WriteRate: 500, ReadRate: 2000}, func(ctx context.Context, c *qt.C) {
		for i := range 60 {
			name := fmt.Sprintf("extra-%d", i)
			c.Assert(o.StartAgent(ctx, name, "a", "orders", &raildesk.OrderService{}), qt.IsNil)
		}
		time.Sleep(5 * time.Second)
		var slowest time.Duration
		for state := 1; state <= 20; state++ {
			o.WriteFile("20.ini", "[customer castle]\nweight = "+strconv.Itoa(state)+"\n")
			began := time.Now()
			number := uint64(state + 1)
			c.Assert(o.WaitUntil(ctx, "the change is in force", func() bool { return o.LowestRevision() >= number }), qt.IsNil)
			c.Check(time.Since(began) < inForceGoal, qt.IsTrue, qt.Commentf("state %d took %v", state, time.Since(began)))
			slowest = max(slowest, time.Since(began))
			time.Sleep(300 * time.Millisecond)
		}
		c.Logf("slowest of 20 changes: %v at 63 agents and 3 entries", slowest)
		c.Check(weightOf(o.routers["entry-a"]), qt.Equals, 20)
	})
}

func TestZoneTakenOutGetsNoNewWorkFromAnEntryCutOffFromThePlatform(t *testing.T) {
	o := &orders{}
	o.run(t, &railplatform.Platform{}, func(ctx context.Context, c *qt.C) {
		o.SetEntryPartitioned("entry-a", true)
		o.Network.Partition("entry-a", "entry-b")
		o.Network.Partition("entry-a", "entry-c")
		var lastWork time.Time
		o.desks["orders-a"].OnCommit = func(string, string) { lastWork = time.Now() }
		o.WriteFile("20.ini", "[zone a]\nstate = out\n")
		out := time.Now()
		failed := 0
		for time.Since(out) < 4*time.Second {
			verdict, _, _ := railcluster.Submit(ctx, o.routers["entry-a"], railcluster.NewRequest("orders", "castle", "", "x", false, time.Second))
			if verdict != railverdict.Ran {
				failed++
			}
			time.Sleep(20 * time.Millisecond)
		}
		c.Check(lastWork.Sub(out) < zoneGoal, qt.IsTrue, qt.Commentf("last work after %v", lastWork.Sub(out)))
		c.Check(lastWork.After(out), qt.IsTrue)
		c.Check(failed, qt.Equals, 0)
	})
}

func TestFreshEntriesServeTheRevisionInForceDuringAnOutage(t *testing.T) {
	views := &staleViews{}
	o := &orders{delay: 200 * time.Millisecond, views: views.view}
	o.run(t, &railplatform.Platform{}, func(ctx context.Context, c *qt.C) {
		old, _ := o.Folder()
		views.set(old, "fresh-a", "fresh-b", "fresh-c")
		o.WriteFile("20.ini", "[customer castle]\nweight = 7\n")
		c.Assert(o.WaitRevision(ctx, 2), qt.IsNil)
		time.Sleep(2 * time.Second)
		var running sync.WaitGroup
		for i := range 30 {
			running.Go(func() { o.history.submit(ctx, c, o.routers["entry-"+zones[i%3]], keyOf(i), i, 9) })
		}
		time.Sleep(100 * time.Millisecond)
		// The store is down, all entries are replaced at once in the middle of orders, and the new ones see an old folder.
		o.Platform.SetStoreDown(true)
		for _, zone := range zones {
			o.KillRouter("entry-" + zone)
		}
		running.Wait()
		for _, zone := range zones {
			o.startEntry(ctx, c, "fresh-"+zone, zone)
		}
		time.Sleep(freshGoal)
		for _, zone := range zones {
			fresh := o.routers["fresh-"+zone]
			c.Check(weightOf(fresh), qt.Equals, 7)
			for range 10 {
				c.Check(o.history.submit(ctx, c, fresh, "", 0, 9), qt.Equals, railverdict.Ran)
			}
		}
		o.Platform.SetStoreDown(false)
		time.Sleep(5 * time.Second)
		for i := range 30 {
			verdict := o.history.submit(ctx, c, o.routers["fresh-"+zones[(i+1)%3]], keyOf(i), i, 9)
			c.Check(verdict, qt.Equals, railverdict.Ran, qt.Commentf(keyOf(i)))
		}
		for _, zone := range zones {
			revision, _ := o.routers["fresh-"+zone].Revision()
			c.Check(revision.Number, qt.Equals, uint64(2))
		}
		o.history.check(c, 0)
	})
}

func keyOf(i int) string {
	return "key-" + strconv.Itoa(i)
}

func TestOnlyAnEntryThatIsCutOffFromAllRefusesNewWork(t *testing.T) {
	o := &orders{}
	o.run(t, &railplatform.Platform{}, func(_ context.Context, c *qt.C) {
		orders := railservice.Service{WhenIsolated: railservice.RefuseWhenIsolated}
		o.Platform.SetDown(true)
		time.Sleep(20 * time.Second)
		for name, r := range o.routers {
			c.Check(r.RefusalReason(orders), qt.Equals, "", qt.Commentf("%s refuses during an outage for all", name))
		}
		o.Platform.SetDown(false)
		time.Sleep(5 * time.Second)
		o.SetEntryPartitioned("entry-a", true)
		others := []string{"entry-b", "entry-c", "orders-a", "orders-b", "orders-c"}
		for _, other := range others {
			o.Network.Partition("entry-a", other)
		}
		time.Sleep(10 * time.Second)
		c.Check(o.routers["entry-a"].RefusalReason(orders), qt.Not(qt.Equals), "")
		c.Check(o.routers["entry-a"].RefusalReason(railservice.Service{WhenIsolated: "serve"}), qt.Equals, "")
		c.Check(o.routers["entry-b"].RefusalReason(orders), qt.Equals, "")
		for _, other := range others {
			o.Network.Heal("entry-a", other)
		}
		time.Sleep(5 * time.Second)
		c.Check(o.routers["entry-a"].RefusalReason(orders), qt.Equals, "")
	})
}
