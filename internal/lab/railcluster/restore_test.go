package railcluster_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

const (
	restoreSeeds    = 4
	restoreLoadTime = 75 * time.Second
	// keyedPauseLimit bounds the time after a restore for which orders with a key are refused.
	keyedPauseLimit = 20 * time.Second
	// maxCopyAge bounds the age of the copies from which these tests restore the store.
	maxCopyAge = 12 * time.Second
)

// seedsToRestore returns the number of seeds of a test that restores the store, which the environment may set.
func seedsToRestore() uint64 {
	if seeds, err := strconv.ParseUint(os.Getenv("SEEDS"), 10, 64); err == nil {
		return seeds
	}
	return restoreSeeds
}

// restoreStore takes the store down for a moment and brings it back from a copy of the given age.
func (o *ordersCluster) restoreStore(ctx context.Context, outage, age time.Duration) {
	o.Platform.SetStoreDown(true)
	railtimer.Sleep(ctx, outage)
	o.Platform.Restore(age)
	o.Platform.SetStoreDown(false)
}

// Guards against running an order again because the claim on its key was acknowledged and then lost by the store.
func TestKeyClaimedInLostSecondsIsNotRunAgain(t *testing.T) {
	o := &ordersCluster{delay: 30 * time.Millisecond}
	o.run(t, &railplatform.Platform{}, func(ctx context.Context, c *qt.C) {
		submit := func(entry string) railverdict.Verdict {
			return o.history.submitAndRecord(ctx, c, o.routers[entry], "key", 0, 19)
		}
		c.Assert(submit("entry-a"), qt.Equals, railverdict.Ran)
		time.Sleep(time.Second)
		o.restoreStore(ctx, time.Second, 5*time.Second)
		start := time.Now()
		for submit("entry-b") != railverdict.Ran && time.Since(start) < keyedPauseLimit {
			time.Sleep(500 * time.Millisecond)
		}
		c.Check(time.Since(start) < keyedPauseLimit, qt.IsTrue, qt.Commentf("the key is still refused"))
		c.Check(o.orderServices["orders-a"].CommitCounts()["key"], qt.Equals, 1)
		c.Check(o.orderServices["orders-b"].CommitCounts()["key"], qt.Equals, 0)
		o.history.checkAtMostOnce(c, 0)
	})
}

// Guards against keyed orders that run twice when the store loses claims and outcomes under load, and loses responses meanwhile.
func TestOrdersRunAtMostOnceWhenStoreIsRestored(t *testing.T) {
	for seed := range seedsToRestore() {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			o := &ordersCluster{seed: seed, delay: 30 * time.Millisecond}
			o.run(t, &railplatform.Platform{ListLag: 2 * time.Second, WriteRate: 500, ReadRate: 2000, Seed: seed}, func(ctx context.Context, c *qt.C) {
				o.Network.SetResets(0.2, 4000)
				loadCtx, stopLoad := context.WithTimeout(ctx, restoreLoadTime)
				defer stopLoad()
				var wg sync.WaitGroup
				for client := range 6 {
					wg.Go(func() { o.submitKeysAgain(ctx, loadCtx, c, client, rand.New(rand.NewPCG(seed, uint64(client)))) })
				}
				o.injectRestores(loadCtx, rand.New(rand.NewPCG(seed, 98)))
				wg.Wait()
				o.history.checkAtMostOnce(c, seed)
			})
		})
	}
}

// submitKeysAgain sends orders with new keys, and orders that this client and the next one have sent before, as callers do that have lost
// the answers, until loadCtx is done.
func (o *ordersCluster) submitKeysAgain(ctx, loadCtx context.Context, c *qt.C, client int, random *rand.Rand) {
	for n := 0; loadCtx.Err() == nil; n++ {
		o.history.submitAndRecord(ctx, c, o.randomRouter(random), fmt.Sprintf("key-%d-%d", client, n), client, n)
		other, earlier := (client+random.IntN(2))%6, max(n-random.IntN(20), 0)
		o.history.submitAndRecord(ctx, c, o.randomRouter(random), fmt.Sprintf("key-%d-%d", other, earlier), other, earlier)
		time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
	}
}

// injectRestores restores the store again and again, with other faults in between that don't end a process.
func (o *ordersCluster) injectRestores(ctx context.Context, random *rand.Rand) {
	for railtimer.Sleep(ctx, time.Duration(5000+random.IntN(30000))*time.Millisecond) {
		switch random.IntN(3) {
		case 0:
			o.Platform.SetResponseLoss(0.5)
		case 1:
			o.orderServices["orders-"+zones[random.IntN(3)]].DropResponses(1 + random.IntN(3))
		}
		o.restoreStore(ctx, time.Duration(random.IntN(2500))*time.Millisecond, time.Duration(random.IntN(int(maxCopyAge))))
		railtimer.Sleep(ctx, time.Second)
		o.Platform.SetResponseLoss(0)
	}
}
