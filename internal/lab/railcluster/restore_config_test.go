package railcluster_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

// followOnly is a folderReader for entries that publish nothing, if their names begin with "follower".
func followOnly(o *ordersCluster, entry string) func() (railfolder.Folder, error) {
	if strings.HasPrefix(entry, "follower") {
		return nil
	}
	return o.Folder
}

// Guards against a confirmed change that comes back older: at a process that starts after the restore, or in the store for good.
func TestConfirmedChangeIsInForceAgainAfterRestore(t *testing.T) {
	o := &ordersCluster{folderReader: followOnly}
	o.run(t, &railplatform.Platform{}, func(ctx context.Context, c *qt.C) {
		o.WriteFile("20.ini", "[customer castle]\nweight = 7\n")
		c.Assert(o.WaitRevision(ctx, 2), qt.IsNil)
		time.Sleep(time.Second)
		o.restoreStore(ctx, time.Second, 5*time.Second)
		o.startEntry(ctx, c, "follower-late", "a")
		late := o.routers["follower-late"]
		for range 1000 {
			if revision, ok := late.Revision(); ok && customerWeight(late) != 7 {
				c.Errorf("the older revision %d is in force", revision.Number)
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		c.Check(customerWeight(late), qt.Equals, 7)
		for name := range o.routers {
			o.KillRouter(name)
		}
		for _, zone := range zones {
			o.KillAgent("orders-" + zone)
		}
		time.Sleep(time.Second)
		clear(o.routers)
		o.startEntry(ctx, c, "follower-alone", "a")
		time.Sleep(10 * time.Second)
		c.Check(customerWeight(o.routers["follower-alone"]), qt.Equals, 7)
	})
}

// Guards against a change that goes back, or entries that differ for ever, since an entry that knew only the older revision published others
// under the same numbers after the restore, from an older view of the folder.
func TestEntriesAgreeAfterNumberWasPublishedTwice(t *testing.T) {
	for _, test := range []struct {
		name      string
		staleView []string
	}{
		{"the same number", []string{"20.ini"}},
		{"a higher number", []string{"20.ini", "30.ini"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			folders := &staleFolders{}
			o := &ordersCluster{folderReader: folders.readFolderFunc}
			o.run(t, &railplatform.Platform{}, func(ctx context.Context, c *qt.C) {
				first, _ := o.Folder()
				folders.setStale(first, "entry-a", "entry-b", "entry-c")
				o.SetZonePartitioned("c", true)
				o.WriteFile("20.ini", "[customer castle]\nweight = 5\n")
				views := map[string]railfolder.Folder{}
				views["20.ini"], _ = o.Folder()
				o.WriteFile("30.ini", "[customer forge]\nweight = 3\n")
				views["30.ini"], _ = o.Folder()
				o.WriteFile("20.ini", "[customer castle]\nweight = 7\n")
				folders.setStale(first, "entry-c")
				time.Sleep(2 * time.Second)
				for _, name := range []string{"entry-a", "entry-b"} {
					c.Check(customerWeight(o.routers[name]), qt.Equals, 7)
					o.SetEntryPartitioned(name, true)
				}
				watchCtx, stopWatch := context.WithCancel(ctx)
				var wg sync.WaitGroup
				for name, r := range o.routers {
					wg.Go(func() { checkMonotonic(watchCtx, t, 0, name, r) })
				}
				o.Platform.Restore(2500 * time.Millisecond)
				o.SetEntryPartitioned("entry-c", false)
				for _, file := range test.staleView {
					folders.setStale(views[file], "entry-c")
					time.Sleep(10 * time.Second)
				}
				o.SetEntryPartitioned("entry-a", false)
				o.SetEntryPartitioned("entry-b", false)
				o.SetZonePartitioned("c", false)
				time.Sleep(10 * time.Second)
				stopWatch()
				wg.Wait()
				wanted, _ := o.routers["entry-a"].Revision()
				for name, r := range o.routers {
					revision, _ := r.Revision()
					c.Check(string(revision.Encode()), qt.Equals, string(wanted.Encode()), qt.Commentf("%s", name))
					c.Check(customerWeight(r), qt.Equals, 7, qt.Commentf("%s", name))
				}
			})
		})
	}
}

// Guards against changes that go back at some entry when the store is restored while operators write and views of the folder lag.
func TestConfigNeverRevertsWhenStoreIsRestored(t *testing.T) {
	for seed := range seedsToRestore() {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
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
					if random.IntN(3) == 0 {
						o.restoreStore(ctx, time.Duration(random.IntN(2000))*time.Millisecond, time.Duration(random.IntN(int(maxCopyAge))))
					}
				}
				o.Platform.SetResponseLoss(0)
				o.Platform.SetDown(false)
				o.Platform.SetDelay(0)
				folders.setStale(railfolder.Folder{})
				time.Sleep(10 * time.Second)
				wanted, _ := o.routers["entry-a"].Revision()
				for name, r := range o.routers {
					revision, _ := r.Revision()
					c.Check(customerWeight(r), qt.Equals, configChanges, qt.Commentf("seed %d: %s", seed, name))
					c.Check(string(revision.Encode()), qt.Equals, string(wanted.Encode()), qt.Commentf("seed %d: %s", seed, name))
				}
				stopWatch()
				wg.Wait()
			})
		})
	}
}
