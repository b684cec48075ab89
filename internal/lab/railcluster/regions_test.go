package railcluster_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railcluster"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

const (
	cutLength = 3 * time.Minute
	// isolationGoal is the time within which a region that is cut off has stopped to take orders.
	isolationGoal = 10 * time.Second
	// afterMend is the time within which everything that was accepted during the cut is in force everywhere.
	afterMend = 7 * time.Second
	// leavingGoal is the time within which an endpoint that the list calls leaving gets no new work.
	leavingGoal = 5 * time.Second
)

func TestOrdersRunAtMostOnceWhileARegionIsCutOffForMinutes(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runCutRegion(t, seed) })
	}
}

// runCutRegion cuts region b off in the middle of orders on both sides. Callers reach every entry, and send an order again
// under its key through the other side at once.
func runCutRegion(t *testing.T, seed uint64) {
	o := &orders{seed: seed, delay: 50 * time.Millisecond}
	o.run(t, &railplatform.Platform{Seed: seed}, func(ctx context.Context, c *qt.C) {
		var clients sync.WaitGroup
		var mu sync.Mutex
		inside, outside := map[railverdict.Verdict]int{}, map[railverdict.Verdict]int{}
		began := time.Now()
		for client := range 8 {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			clients.Go(func() {
				for n := 0; time.Since(began) < cutLength+30*time.Second; n++ {
					key := fmt.Sprintf("key-%d-%d", client, n)
					if random.IntN(4) == 0 {
						key = ""
					}
					first, second := o.routers["entry-b"], o.routers["entry-"+[]string{"a", "c"}[random.IntN(2)]]
					var both sync.WaitGroup
					sent := time.Since(began)
					both.Go(func() {
						verdict := o.history.submit(ctx, c, first, key, client, n)
						mu.Lock()
						defer mu.Unlock()
						if sent > 10*time.Second+isolationGoal && sent < 10*time.Second+cutLength {
							inside[verdict]++
						}
					})
					time.Sleep(time.Duration(random.IntN(80)) * time.Millisecond)
					verdict := o.history.submit(ctx, c, second, key, client, n)
					both.Wait()
					mu.Lock()
					outside[verdict]++
					mu.Unlock()
					time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
				}
			})
		}
		time.Sleep(10 * time.Second)
		o.SetZonePartitioned("b", true)
		time.Sleep(time.Minute)
		o.WriteFile("20.ini", "[customer castle]\nweight = 7\n")
		time.Sleep(cutLength - time.Minute)
		o.SetZonePartitioned("b", false)
		time.Sleep(afterMend)
		c.Check(o.LowestRevision(), qt.Equals, uint64(2))
		c.Check(weightOf(o.routers["entry-b"]), qt.Equals, 7)
		clients.Wait()
		o.history.check(c, seed)
		c.Logf("seed %d: in the cut region %v, outside %v", seed, inside, outside)
		c.Check(inside[railverdict.Ran]+inside[railverdict.MayHaveRun], qt.Equals, 0)
		c.Check(outside[railverdict.NotRun], qt.Equals, 0)
	})
}

func TestEndpointThatTheListCallsLeavingGetsNoNewWork(t *testing.T) {
	o := &orders{}
	o.run(t, &railplatform.Platform{ListLag: time.Second}, func(ctx context.Context, c *qt.C) {
		var lastWork time.Time
		o.desks["orders-a"].OnCommit = func(string, string) { lastWork = time.Now() }
		o.Platform.SetMember(railmember.Member{
			Name: "orders-a", Role: railmember.RoleAgent, Address: "orders-a", Zone: "a", Region: "a", Service: "orders", Leaving: true,
		})
		told := time.Now()
		for time.Since(told) < 2*leavingGoal {
			verdict, _, _ := railcluster.Submit(ctx, o.routers["entry-a"], railcluster.NewRequest("orders", "castle", "", "x", false, time.Second))
			c.Check(verdict, qt.Equals, railverdict.Ran)
			time.Sleep(20 * time.Millisecond)
		}
		c.Check(lastWork.After(told), qt.IsTrue)
		c.Check(lastWork.Sub(told) < leavingGoal, qt.IsTrue, qt.Commentf("last work after %v", lastWork.Sub(told)))
	})
}
