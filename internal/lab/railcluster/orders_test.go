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

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/lab/railcluster"
	"github.com/fulmarrail/fulmarrail/internal/node/railrouter"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

// step is one operation of a key's history: a commit at a desk, or a submission with what its caller was told.
type step struct {
	commit  bool
	verdict railverdict.Verdict
}

type history struct {
	mu      sync.Mutex
	began   time.Time
	ops     map[string][]porcupine.Operation
	commits map[string]int
	client  int
}

func newHistory() *history {
	return &history{began: time.Now(), ops: map[string][]porcupine.Operation{}, commits: map[string]int{}}
}

// orderModel is a ledger entry: it is committed at most once, and an order that a caller was told has run is committed.
var orderModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, _ any) (bool, any) {
		s := input.(step)
		committed := state.(bool)
		switch {
		case s.commit:
			return !committed, true
		case s.verdict == railverdict.Ran:
			return committed, committed
		default:
			return true, committed
		}
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

func TestOrdersRunAtMostOnceUnderFaults(t *testing.T) {
	seeds := 12
	if text := os.Getenv("SEEDS"); text != "" {
		seeds, _ = strconv.Atoi(text)
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runOrders(t, uint64(seed)) })
	}
}

func runOrders(t *testing.T, seed uint64) {
	o := &orders{seed: seed, delay: 30 * time.Millisecond}
	o.run(t, &railplatform.Platform{ListLag: 2 * time.Second, Seed: seed}, func(ctx context.Context, c *qt.C) {
		o.Network.SetResets(0.2, 4000)
		faults, heal := context.WithCancel(ctx)
		var wg sync.WaitGroup
		wg.Go(func() { o.injectFaults(ctx, faults, rand.New(rand.NewPCG(seed, 99))) })
		var clients sync.WaitGroup
		for client := range 16 {
			clients.Go(func() { o.submitOrders(ctx, c, client, rand.New(rand.NewPCG(seed, uint64(client)))) })
		}
		clients.Wait()
		heal()
		wg.Wait()
		o.history.check(c, seed)
	})
}

// submitOrders sends orders one after the other and, as callers do, sends each again under its key until it is known to
// have run; now and then it sends one through two entries at once.
func (o *orders) submitOrders(ctx context.Context, c *qt.C, client int, random *rand.Rand) {
	for n := range 25 {
		key := fmt.Sprintf("key-%d-%d", client, n)
		if random.IntN(4) == 0 {
			key = ""
		}
		tries := 1
		if key != "" {
			tries = 4
		}
		for range tries {
			var wg sync.WaitGroup
			var ran bool
			twice := key != "" && random.IntN(3) == 0
			if twice {
				r := o.anyRouter(random)
				wg.Go(func() { o.history.submit(ctx, c, r, key, client, n) })
			}
			ran = o.history.submit(ctx, c, o.anyRouter(random), key, client, n) == railverdict.Ran
			wg.Wait()
			if ran {
				break
			}
			time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		}
	}
}

func (o *orders) anyRouter(random *rand.Rand) *railrouter.Router {
	return o.routers["entry-"+zones[random.IntN(len(zones))]]
}

func (o *orders) injectFaults(root, ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		zone, other := zones[random.IntN(3)], zones[random.IntN(3)]
		length := time.Duration(200+random.IntN(2500)) * time.Millisecond
		switch random.IntN(6) {
		case 0:
			o.KillAgent("orders-" + zone)
			railtimer.Sleep(ctx, length)
			if err := o.RestartAgent(root, "orders-"+zone); err != nil {
				panic(err)
			}
		case 1:
			o.Network.Partition("entry-"+zone, "orders-"+other)
			railtimer.Sleep(ctx, length)
			o.Network.Heal("entry-"+zone, "orders-"+other)
		case 2:
			o.Platform.SetDown(true)
			railtimer.Sleep(ctx, length)
			o.Platform.SetDown(false)
		case 3:
			o.Platform.SetResponseLoss(0.5)
			railtimer.Sleep(ctx, length)
			o.Platform.SetResponseLoss(0)
		case 4:
			o.Platform.SetDelay(700 * time.Millisecond)
			railtimer.Sleep(ctx, length)
			o.Platform.SetDelay(0)
		case 5:
			o.desks["orders-"+zones[random.IntN(3)]].DropResponses(1 + random.IntN(3))
		}
		railtimer.Sleep(ctx, time.Duration(random.IntN(400))*time.Millisecond)
	}
}

func (h *history) submit(ctx context.Context, c *qt.C, r *railrouter.Router, key string, client, n int) railverdict.Verdict {
	req := railcluster.NewRequest("orders", "castle", key, fmt.Sprintf("order %d of %d", n, client), false, time.Duration(300+200*(n%20))*time.Millisecond)
	call := time.Since(h.began)
	verdict, frames, _ := railcluster.Submit(ctx, r, req)
	name := key
	if key == "" {
		name = req.ID
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.client++
	h.ops[name] = append(h.ops[name], porcupine.Operation{
		ClientId: h.client, Input: step{verdict: verdict}, Call: int64(call), Return: int64(time.Since(h.began)),
	})
	if verdict == railverdict.Ran {
		c.Check(len(frames), qt.Equals, 2, qt.Commentf("frames of %s: %v", name, frames))
	}
	if verdict == railverdict.NotRun && h.commits[req.ID] > 0 {
		c.Errorf("request %s (key %q) was reported as not run and was committed", req.ID, key)
	}
	return verdict
}

func (h *history) commit(requestID, key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	base := requestID[:36]
	h.commits[base]++
	name := key
	if key == "" {
		name = base
	}
	now := int64(time.Since(h.began))
	h.client++
	h.ops[name] = append(h.ops[name], porcupine.Operation{ClientId: h.client, Input: step{commit: true}, Call: now, Return: now})
}

func (h *history) check(c *qt.C, seed uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	verdicts := map[railverdict.Verdict]int{}
	for name, ops := range h.ops {
		for _, op := range ops {
			if s := op.Input.(step); !s.commit {
				verdicts[s.verdict]++
			}
		}
		if !porcupine.CheckOperations(orderModel, ops) {
			c.Errorf("seed %d: the history of %s is not that of at most one run: %+v", seed, name, ops)
		}
	}
	c.Logf("seed %d: %d ran, %d may have run, %d not run", seed, verdicts[railverdict.Ran], verdicts[railverdict.MayHaveRun], verdicts[railverdict.NotRun])
	c.Check(verdicts[railverdict.Ran] > 0, qt.IsTrue)
}
