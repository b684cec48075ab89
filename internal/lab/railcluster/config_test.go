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
	"github.com/fulmarrail/fulmarrail/internal/standin/railorderservice"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

const (
	propagationLimit = 2 * time.Second
	zoneDrainLimit   = 2 * time.Second
	configChanges    = 20
	bootstrapLimit   = 7 * time.Second
)

// customerWeight returns the weight of the customer castle. Tests increase it with each change of the configuration.
func customerWeight(r *railrouter.Router) int {
	revision, _ := r.Revision()
	customer, _ := revision.Spec().Customer("castle")
	return customer.Weight
}

func TestConfigNeverRevertsUnderFaults(t *testing.T) {
	for seed := range 20 {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runConfigChanges(t, uint64(seed)) })
	}
}

// staleFolders makes some entries read an old snapshot of the configuration folder.
type staleFolders struct {
	mu           sync.Mutex
	oldFolder    railfolder.Folder
	staleEntries map[string]bool
}

// setStale makes the named entries read the given old snapshot from now on, and all others the current folder.
func (f *staleFolders) setStale(folder railfolder.Folder, entries ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.oldFolder, f.staleEntries = folder, map[string]bool{}
	for _, name := range entries {
		f.staleEntries[name] = true
	}
}

func (f *staleFolders) readFolderFunc(o *ordersCluster, entry string) func() (railfolder.Folder, error) {
	return func() (railfolder.Folder, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.staleEntries[entry] {
			return f.oldFolder, nil
		}
		return o.Folder()
	}
}

// runConfigChanges increases a customer's weight step by step while publishers stall, read stale folders and lose
// responses. No entry may ever go back to a lower weight.
func runConfigChanges(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	folders := &staleFolders{}
	o := &ordersCluster{seed: seed, folderReader: folders.readFolderFunc}
	o.run(t, &railplatform.Platform{Seed: seed}, func(ctx context.Context, c *qt.C) {
		o.Network.SetResets(0.2, 4000)
		watchCtx, stopWatch := context.WithCancel(ctx)
		var wg sync.WaitGroup
		for name, r := range o.routers {
			wg.Go(func() { checkMonotonic(watchCtx, t, seed, name, r) })
		}
		for weight := 1; weight <= configChanges; weight++ {
			o.publishUnderFaults(folders, random, weight)
		}
		o.Platform.SetResponseLoss(0)
		o.Platform.SetDown(false)
		o.Platform.SetDelay(0)
		folders.setStale(railfolder.Folder{})
		time.Sleep(5 * time.Second)
		for name, r := range o.routers {
			c.Check(customerWeight(r), qt.Equals, configChanges, qt.Commentf("seed %d: %s", seed, name))
		}
		stopWatch()
		wg.Wait()
	})
}

// publishUnderFaults writes one weight to the folder while the platform fails, an entry reads a stale folder or is
// partitioned from the platform.
func (o *ordersCluster) publishUnderFaults(folders *staleFolders, random *rand.Rand, weight int) {
	entry := "entry-" + zones[random.IntN(3)]
	oldFolder, _ := o.Folder()
	if random.IntN(2) == 0 {
		folders.setStale(oldFolder, entry)
	} else {
		folders.setStale(oldFolder)
	}
	o.Platform.SetResponseLoss([]float64{0, 0.5}[random.IntN(2)])
	o.Platform.SetDown(random.IntN(5) == 0)
	o.Platform.SetDelay(time.Duration(random.IntN(3)) * 300 * time.Millisecond)
	o.SetEntryPartitioned(entry, random.IntN(4) == 0)
	// Two operators set the same key: the file that sorts last wins, whatever the order of the writes.
	o.WriteFile("20.ini", fmt.Sprintf("[customer castle]\nweight = %d\n", weight))
	if random.IntN(3) == 0 {
		o.WriteFile("15.ini", "[customer castle]\nweight = 1000\n")
	}
	time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
	o.SetEntryPartitioned(entry, false)
}

func checkMonotonic(ctx context.Context, t *testing.T, seed uint64, name string, r *railrouter.Router) {
	highestWeight, revisionNumber := 0, uint64(0)
	for ctx.Err() == nil {
		revision, _ := r.Revision()
		if revision.Number < revisionNumber {
			t.Errorf("seed %d: %s went from revision %d to %d", seed, name, revisionNumber, revision.Number)
		}
		revisionNumber = revision.Number
		if weight := customerWeight(r); weight < highestWeight {
			t.Errorf("seed %d: %s went back from weight %d to %d in revision %d", seed, name, highestWeight, weight, revisionNumber)
		} else {
			highestWeight = weight
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestChangePropagatesToAllProcessesWithinLimit(t *testing.T) {
	o := &ordersCluster{}
	o.run(t, &railplatform.Platform{WriteRate: 500, ReadRate: 2000}, func(ctx context.Context, c *qt.C) {
		for i := range 60 {
			name := fmt.Sprintf("extra-%d", i)
			c.Assert(o.StartAgent(ctx, name, "a", "orders", &railorderservice.OrderService{}), qt.IsNil)
		}
		time.Sleep(5 * time.Second)
		var slowest time.Duration
		for weight := 1; weight <= 20; weight++ {
			o.WriteFile("20.ini", "[customer castle]\nweight = "+strconv.Itoa(weight)+"\n")
			start := time.Now()
			revisionNumber := uint64(weight + 1)
			c.Assert(o.WaitUntil(ctx, "the change is in effect", func() bool { return o.LowestRevision() >= revisionNumber }), qt.IsNil)
			c.Check(time.Since(start) < propagationLimit, qt.IsTrue, qt.Commentf("weight %d took %v", weight, time.Since(start)))
			slowest = max(slowest, time.Since(start))
			time.Sleep(300 * time.Millisecond)
		}
		c.Logf("slowest of 20 changes: %v at 63 agents and 3 entries", slowest)
		c.Check(customerWeight(o.routers["entry-a"]), qt.Equals, 20)
	})
}

func TestPartitionedEntryStopsSendingToZoneTakenOut(t *testing.T) {
	o := &ordersCluster{}
	o.run(t, &railplatform.Platform{}, func(ctx context.Context, c *qt.C) {
		o.SetEntryPartitioned("entry-a", true)
		o.Network.Partition("entry-a", "entry-b")
		o.Network.Partition("entry-a", "entry-c")
		var lastCommit time.Time
		o.orderServices["orders-a"].OnCommit = func(string, string) { lastCommit = time.Now() }
		o.WriteFile("20.ini", "[zone a]\nstate = out\n")
		zoneOutAt := time.Now()
		failed := 0
		for time.Since(zoneOutAt) < 4*time.Second {
			verdict, _, _ := railcluster.Submit(ctx, o.routers["entry-a"], railcluster.NewRequest("orders", "castle", "", "x", false, time.Second))
			if verdict != railverdict.Ran {
				failed++
			}
			time.Sleep(20 * time.Millisecond)
		}
		c.Check(lastCommit.Sub(zoneOutAt) < zoneDrainLimit, qt.IsTrue, qt.Commentf("last commit after %v", lastCommit.Sub(zoneOutAt)))
		c.Check(lastCommit.After(zoneOutAt), qt.IsTrue)
		c.Check(failed, qt.Equals, 0)
	})
}

func TestNewEntriesServeCurrentRevisionDuringStoreOutage(t *testing.T) {
	folders := &staleFolders{}
	o := &ordersCluster{delay: 200 * time.Millisecond, folderReader: folders.readFolderFunc}
	o.run(t, &railplatform.Platform{}, func(ctx context.Context, c *qt.C) {
		oldFolder, _ := o.Folder()
		folders.setStale(oldFolder, "fresh-a", "fresh-b", "fresh-c")
		o.WriteFile("20.ini", "[customer castle]\nweight = 7\n")
		c.Assert(o.WaitRevision(ctx, 2), qt.IsNil)
		time.Sleep(2 * time.Second)
		var inFlight sync.WaitGroup
		for i := range 30 {
			inFlight.Go(func() { o.history.submitAndRecord(ctx, c, o.routers["entry-"+zones[i%3]], idempotencyKey(i), i, 9) })
		}
		time.Sleep(100 * time.Millisecond)
		// The store is down, all entries are replaced at once while orders are in flight, and the new entries read a stale folder.
		o.Platform.SetStoreDown(true)
		for _, zone := range zones {
			o.KillRouter("entry-" + zone)
		}
		inFlight.Wait()
		for _, zone := range zones {
			o.startEntry(ctx, c, "fresh-"+zone, zone)
		}
		time.Sleep(bootstrapLimit)
		for _, zone := range zones {
			router := o.routers["fresh-"+zone]
			c.Check(customerWeight(router), qt.Equals, 7)
			for range 10 {
				c.Check(o.history.submitAndRecord(ctx, c, router, "", 0, 9), qt.Equals, railverdict.Ran)
			}
		}
		o.Platform.SetStoreDown(false)
		time.Sleep(5 * time.Second)
		for i := range 30 {
			verdict := o.history.submitAndRecord(ctx, c, o.routers["fresh-"+zones[(i+1)%3]], idempotencyKey(i), i, 9)
			c.Check(verdict, qt.Equals, railverdict.Ran, qt.Commentf(idempotencyKey(i)))
		}
		for _, zone := range zones {
			revision, _ := o.routers["fresh-"+zone].Revision()
			c.Check(revision.Number, qt.Equals, uint64(2))
		}
		o.history.checkAtMostOnce(c, 0)
	})
}

func idempotencyKey(i int) string {
	return "key-" + strconv.Itoa(i)
}

func TestOnlyFullyIsolatedEntryRefusesNewRequests(t *testing.T) {
	o := &ordersCluster{}
	o.run(t, &railplatform.Platform{}, func(_ context.Context, c *qt.C) {
		service := railservice.Service{WhenIsolated: railservice.RefuseWhenIsolated}
		o.Platform.SetDown(true)
		time.Sleep(20 * time.Second)
		for name, r := range o.routers {
			c.Check(r.RejectionReason(service), qt.Equals, "", qt.Commentf("%s refuses requests during an outage that affects all entries", name))
		}
		o.Platform.SetDown(false)
		time.Sleep(5 * time.Second)
		o.SetEntryPartitioned("entry-a", true)
		peers := []string{"entry-b", "entry-c", "orders-a", "orders-b", "orders-c"}
		for _, other := range peers {
			o.Network.Partition("entry-a", other)
		}
		time.Sleep(10 * time.Second)
		c.Check(o.routers["entry-a"].RejectionReason(service), qt.Not(qt.Equals), "")
		c.Check(o.routers["entry-a"].RejectionReason(railservice.Service{WhenIsolated: "serve"}), qt.Equals, "")
		c.Check(o.routers["entry-b"].RejectionReason(service), qt.Equals, "")
		for _, other := range peers {
			o.Network.Heal("entry-a", other)
		}
		time.Sleep(5 * time.Second)
		c.Check(o.routers["entry-a"].RejectionReason(service), qt.Equals, "")
	})
}
