package railcluster_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railcluster"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
)

const (
	warmUpDuration   = 20 * time.Second
	overloadDuration = 20 * time.Second
	normalPriority   = 5
	urgentPriority   = 8
	// shareTolerance is the relative error allowed between the ratio of two overloading customers' throughputs and that of
	// their weights.
	shareTolerance = 0.2

	customersConfig = "[customer box-office]\n[customer festival]\nweight = 3\n"
)

// customerLoad sends requests of one customer at one priority and a constant rate.
type customerLoad struct {
	customer          string
	weight            int
	priority          int
	requestsPerSecond int

	mu       sync.Mutex
	verdicts map[railverdict.Verdict]int
}

// send sends requests until ctx is done and waits for their responses.
func (load *customerLoad) send(ctx context.Context, chat *chatCluster) {
	load.verdicts = map[railverdict.Verdict]int{}
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		wg.Go(func() {
			req := railcluster.NewRequest("chat", load.customer, "", `{"maxTokens": 12}`, true, 4*time.Second)
			req.Weight, req.Priority = load.weight, load.priority
			verdict, _, _ := railcluster.Submit(context.WithoutCancel(ctx), chat.routers[n%len(chat.routers)], req)
			load.mu.Lock()
			defer load.mu.Unlock()
			load.verdicts[verdict]++
		})
		time.Sleep(time.Second / time.Duration(load.requestsPerSecond))
	}
	wg.Wait()
}

func (load *customerLoad) String() string {
	return fmt.Sprintf("%s of weight %d at priority %d, %d/s: %v", load.customer, load.weight, load.priority, load.requestsPerSecond, load.verdicts)
}

// One of two zones is out, and two large customers send several times the capacity of the other.
func TestSmallCustomersAndUrgentRequestsAreServedUnderOverload(t *testing.T) {
	runChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chatCluster) {
		chat.WriteFile("15.ini", customersConfig)
		warmUpCtx, stopWarmUp := context.WithTimeout(ctx, warmUpDuration)
		defer stopWarmUp()
		(&customerLoad{customer: "castle", weight: 1, priority: normalPriority, requestsPerSecond: 150}).send(warmUpCtx, chat)
		chat.WriteFile("20.ini", "[zone b]\nstate = out\n")
		c.Assert(chat.WaitRevision(ctx, 3), qt.IsNil)
		smallLoad := &customerLoad{customer: "box-office", weight: 1, priority: normalPriority, requestsPerSecond: 10}
		urgentLoad := &customerLoad{customer: "castle", weight: 1, priority: urgentPriority, requestsPerSecond: 15}
		largeLoad := &customerLoad{customer: "castle", weight: 1, priority: normalPriority, requestsPerSecond: 400}
		weightedLoad := &customerLoad{customer: "festival", weight: 3, priority: normalPriority, requestsPerSecond: 400}
		overloadCtx, stop := context.WithTimeout(ctx, overloadDuration)
		defer stop()
		var wg sync.WaitGroup
		for _, load := range []*customerLoad{smallLoad, urgentLoad, largeLoad, weightedLoad} {
			wg.Go(func() { load.send(overloadCtx, chat) })
		}
		wg.Wait()
		for _, load := range []*customerLoad{smallLoad, urgentLoad, largeLoad, weightedLoad} {
			c.Logf("%v", load)
		}
		for _, load := range []*customerLoad{smallLoad, urgentLoad} {
			c.Check(load.verdicts[railverdict.NotRun]+load.verdicts[railverdict.MayHaveRun], qt.Equals, 0, qt.Commentf("%v", load))
		}
		shareRatio := float64(weightedLoad.verdicts[railverdict.Ran]) / float64(largeLoad.verdicts[railverdict.Ran]) / 3
		c.Check(shareRatio > 1-shareTolerance && shareRatio < 1+shareTolerance, qt.IsTrue, qt.Commentf("%.2f of the share expected from the weights", shareRatio))
		for name, engine := range chat.engines {
			_, overloads, overLimit := engine.Counts()
			c.Check(overloads+overLimit, qt.Equals, 0, qt.Commentf(name))
		}
	})
}
