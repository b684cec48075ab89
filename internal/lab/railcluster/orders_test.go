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

// orderEvent is one operation in the history of an order: a commit at an order service, or a submission with the verdict
// that its caller got.
type orderEvent struct {
	isCommit bool
	verdict  railverdict.Verdict
}

type orderHistory struct {
	mu           sync.Mutex
	start        time.Time
	operations   map[string][]porcupine.Operation
	commitCounts map[string]int
	lastClientID int
}

func newOrderHistory() *orderHistory {
	return &orderHistory{start: time.Now(), operations: map[string][]porcupine.Operation{}, commitCounts: map[string]int{}}
}

// orderModel is the specification of one order: it is committed at most once, and if a caller got the verdict that it ran,
// it is committed.
var orderModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, _ any) (bool, any) {
		event := input.(orderEvent)
		committed := state.(bool)
		switch {
		case event.isCommit:
			return !committed, true
		case event.verdict == railverdict.Ran:
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
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runOrdersUnderFaults(t, uint64(seed)) })
	}
}

func runOrdersUnderFaults(t *testing.T, seed uint64) {
	o := &ordersCluster{seed: seed, delay: 30 * time.Millisecond}
	o.run(t, &railplatform.Platform{ListLag: 2 * time.Second, Seed: seed}, func(ctx context.Context, c *qt.C) {
		o.Network.SetResets(0.2, 4000)
		faultCtx, stopFaults := context.WithCancel(ctx)
		var wg sync.WaitGroup
		wg.Go(func() { o.injectFaults(ctx, faultCtx, rand.New(rand.NewPCG(seed, 99))) })
		var clients sync.WaitGroup
		for client := range 16 {
			clients.Go(func() { o.submitOrders(ctx, c, client, rand.New(rand.NewPCG(seed, uint64(client)))) })
		}
		clients.Wait()
		stopFaults()
		wg.Wait()
		o.history.checkAtMostOnce(c, seed)
	})
}

// submitOrders sends orders one after the other. As callers do, it retries each with the same idempotency key until the
// verdict is that it ran. It sends some orders through two entries at once.
func (o *ordersCluster) submitOrders(ctx context.Context, c *qt.C, client int, random *rand.Rand) {
	for n := range 25 {
		key := fmt.Sprintf("key-%d-%d", client, n)
		if random.IntN(4) == 0 {
			key = ""
		}
		attempts := 1
		if key != "" {
			attempts = 4
		}
		for range attempts {
			var wg sync.WaitGroup
			var ran bool
			submitTwice := key != "" && random.IntN(3) == 0
			if submitTwice {
				r := o.randomRouter(random)
				wg.Go(func() { o.history.submitAndRecord(ctx, c, r, key, client, n) })
			}
			ran = o.history.submitAndRecord(ctx, c, o.randomRouter(random), key, client, n) == railverdict.Ran
			wg.Wait()
			if ran {
				break
			}
			time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		}
	}
}

func (o *ordersCluster) randomRouter(random *rand.Rand) *railrouter.Router {
	return o.routers["entry-"+zones[random.IntN(len(zones))]]
}

func (o *ordersCluster) injectFaults(processCtx, faultCtx context.Context, random *rand.Rand) {
	for faultCtx.Err() == nil {
		zone, other := zones[random.IntN(3)], zones[random.IntN(3)]
		duration := time.Duration(200+random.IntN(2500)) * time.Millisecond
		switch random.IntN(6) {
		case 0:
			o.KillAgent("orders-" + zone)
			railtimer.Sleep(faultCtx, duration)
			if err := o.RestartAgent(processCtx, "orders-"+zone); err != nil {
				panic(err)
			}
		case 1:
			o.Network.Partition("entry-"+zone, "orders-"+other)
			railtimer.Sleep(faultCtx, duration)
			o.Network.Heal("entry-"+zone, "orders-"+other)
		case 2:
			o.Platform.SetDown(true)
			railtimer.Sleep(faultCtx, duration)
			o.Platform.SetDown(false)
		case 3:
			o.Platform.SetResponseLoss(0.5)
			railtimer.Sleep(faultCtx, duration)
			o.Platform.SetResponseLoss(0)
		case 4:
			o.Platform.SetDelay(700 * time.Millisecond)
			railtimer.Sleep(faultCtx, duration)
			o.Platform.SetDelay(0)
		case 5:
			o.orderServices["orders-"+zones[random.IntN(3)]].DropResponses(1 + random.IntN(3))
		}
		railtimer.Sleep(faultCtx, time.Duration(random.IntN(400))*time.Millisecond)
	}
}

func (h *orderHistory) submitAndRecord(ctx context.Context, c *qt.C, r *railrouter.Router, key string, client, n int) railverdict.Verdict {
	req := railcluster.NewRequest("orders", "castle", key, fmt.Sprintf("order %d of %d", n, client), false, time.Duration(300+200*(n%20))*time.Millisecond)
	callTime := time.Since(h.start)
	verdict, frames, _ := railcluster.Submit(ctx, r, req)
	orderName := key
	if key == "" {
		orderName = req.ID
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastClientID++
	h.operations[orderName] = append(h.operations[orderName], porcupine.Operation{
		ClientId: h.lastClientID, Input: orderEvent{verdict: verdict}, Call: int64(callTime), Return: int64(time.Since(h.start)),
	})
	if verdict == railverdict.Ran {
		c.Check(len(frames), qt.Equals, 2, qt.Commentf("frames of %s: %v", orderName, frames))
	}
	if verdict == railverdict.NotRun && h.commitCounts[req.ID] > 0 {
		c.Errorf("request %s (key %q) was reported as not run but was committed", req.ID, key)
	}
	return verdict
}

func (h *orderHistory) recordCommit(requestID, key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := requestID[:36]
	h.commitCounts[id]++
	orderName := key
	if key == "" {
		orderName = id
	}
	now := int64(time.Since(h.start))
	h.lastClientID++
	h.operations[orderName] = append(h.operations[orderName], porcupine.Operation{ClientId: h.lastClientID, Input: orderEvent{isCommit: true}, Call: now, Return: now})
}

func (h *orderHistory) checkAtMostOnce(c *qt.C, seed uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	verdicts := map[railverdict.Verdict]int{}
	for orderName, ops := range h.operations {
		for _, op := range ops {
			if event := op.Input.(orderEvent); !event.isCommit {
				verdicts[event.verdict]++
			}
		}
		if !porcupine.CheckOperations(orderModel, ops) {
			c.Errorf("seed %d: the history of %s violates at-most-once: %+v", seed, orderName, ops)
		}
	}
	c.Logf("seed %d: %d ran, %d may have run, %d not run", seed, verdicts[railverdict.Ran], verdicts[railverdict.MayHaveRun], verdicts[railverdict.NotRun])
	c.Check(verdicts[railverdict.Ran] > 0, qt.IsTrue)
}
