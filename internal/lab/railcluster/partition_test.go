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
	partitionDuration = 3 * time.Minute
	// isolationLimit is the time within which a partitioned region stops accepting orders.
	isolationLimit = 10 * time.Second
	// recoveryLimit is the time after the partition within which changes accepted during it are in effect at every process.
	recoveryLimit = 7 * time.Second
	// leavingLimit is the time after which an endpoint that is listed as leaving gets no new requests.
	leavingLimit = 5 * time.Second
)

func TestOrdersRunAtMostOnceDuringLongRegionPartition(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runRegionPartition(t, seed) })
	}
}

// runRegionPartition partitions region b from the others while orders are in flight on both sides. Callers reach every
// entry and send each order through both sides at once with the same idempotency key.
func runRegionPartition(t *testing.T, seed uint64) {
	o := &ordersCluster{seed: seed, delay: 50 * time.Millisecond}
	o.run(t, &railplatform.Platform{Seed: seed}, func(ctx context.Context, c *qt.C) {
		var clients sync.WaitGroup
		var mu sync.Mutex
		partitionedVerdicts, connectedVerdicts := map[railverdict.Verdict]int{}, map[railverdict.Verdict]int{}
		start := time.Now()
		for client := range 8 {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			clients.Go(func() {
				for n := 0; time.Since(start) < partitionDuration+30*time.Second; n++ {
					key := fmt.Sprintf("key-%d-%d", client, n)
					if random.IntN(4) == 0 {
						key = ""
					}
					partitionedRouter, connectedRouter := o.routers["entry-b"], o.routers["entry-"+[]string{"a", "c"}[random.IntN(2)]]
					var wg sync.WaitGroup
					sentAfter := time.Since(start)
					wg.Go(func() {
						verdict := o.history.submitAndRecord(ctx, c, partitionedRouter, key, client, n)
						mu.Lock()
						defer mu.Unlock()
						if sentAfter > 10*time.Second+isolationLimit && sentAfter < 10*time.Second+partitionDuration {
							partitionedVerdicts[verdict]++
						}
					})
					time.Sleep(time.Duration(random.IntN(80)) * time.Millisecond)
					verdict := o.history.submitAndRecord(ctx, c, connectedRouter, key, client, n)
					wg.Wait()
					mu.Lock()
					connectedVerdicts[verdict]++
					mu.Unlock()
					time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
				}
			})
		}
		time.Sleep(10 * time.Second)
		o.SetZonePartitioned("b", true)
		time.Sleep(time.Minute)
		o.WriteFile("20.ini", "[customer castle]\nweight = 7\n")
		time.Sleep(partitionDuration - time.Minute)
		o.SetZonePartitioned("b", false)
		time.Sleep(recoveryLimit)
		c.Check(o.LowestRevision(), qt.Equals, uint64(2))
		c.Check(customerWeight(o.routers["entry-b"]), qt.Equals, 7)
		clients.Wait()
		o.history.checkAtMostOnce(c, seed)
		c.Logf("seed %d: in the partitioned region %v, outside %v", seed, partitionedVerdicts, connectedVerdicts)
		c.Check(partitionedVerdicts[railverdict.Ran]+partitionedVerdicts[railverdict.MayHaveRun], qt.Equals, 0)
		c.Check(connectedVerdicts[railverdict.NotRun], qt.Equals, 0)
	})
}

func TestEndpointListedAsLeavingGetsNoNewRequests(t *testing.T) {
	o := &ordersCluster{}
	o.run(t, &railplatform.Platform{ListLag: time.Second}, func(ctx context.Context, c *qt.C) {
		var lastCommit time.Time
		o.orderServices["orders-a"].OnCommit = func(string, string) { lastCommit = time.Now() }
		o.Platform.SetMember(railmember.Member{
			Name: "orders-a", Role: railmember.RoleAgent, Address: "orders-a", Zone: "a", Region: "a", Service: "orders", Leaving: true,
		})
		listedAt := time.Now()
		for time.Since(listedAt) < 2*leavingLimit {
			verdict, _, _ := railcluster.Submit(ctx, o.routers["entry-a"], railcluster.NewRequest("orders", "castle", "", "x", false, time.Second))
			c.Check(verdict, qt.Equals, railverdict.Ran)
			time.Sleep(20 * time.Millisecond)
		}
		c.Check(lastCommit.After(listedAt), qt.IsTrue)
		c.Check(lastCommit.Sub(listedAt) < leavingLimit, qt.IsTrue, qt.Commentf("last commit after %v", lastCommit.Sub(listedAt)))
	})
}
