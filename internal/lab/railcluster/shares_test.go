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
	warmLength  = 20 * time.Second
	floodLength = 20 * time.Second
	ordinary    = 5
	urgent      = 8
	// shareTolerance is the relative error within which two flooding customers share by their weights.
	shareTolerance = 0.2

	sharesFolder = "[customer box-office]\n[customer festival]\nweight = 3\n"
)

// stream is a steady load of one customer at one priority.
type stream struct {
	customer  string
	weight    int
	priority  int
	perSecond int

	mu       sync.Mutex
	verdicts map[railverdict.Verdict]int
}

// send sends the stream's requests until ctx is done and waits for their answers.
func (s *stream) send(ctx context.Context, chat *chat) {
	s.verdicts = map[railverdict.Verdict]int{}
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		wg.Go(func() {
			req := railcluster.NewRequest("chat", s.customer, "", `{"maxTokens": 12}`, true, 4*time.Second)
			req.Weight, req.Priority = s.weight, s.priority
			verdict, _, _ := railcluster.Submit(context.WithoutCancel(ctx), chat.routers[n%len(chat.routers)], req)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.verdicts[verdict]++
		})
		time.Sleep(time.Second / time.Duration(s.perSecond))
	}
	wg.Wait()
}

func (s *stream) String() string {
	return fmt.Sprintf("%s of weight %d at priority %d, %d/s: %v", s.customer, s.weight, s.priority, s.perSecond, s.verdicts)
}

// Half of the zones are out, and two large customers send several times what the other half bears.
func TestSmallCustomersAndUrgentRequestsAreServedAboveTheLoadThatTheZonesBear(t *testing.T) {
	inChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chat) {
		chat.WriteFile("15.ini", sharesFolder)
		warming, stopWarming := context.WithTimeout(ctx, warmLength)
		defer stopWarming()
		(&stream{customer: "castle", weight: 1, priority: ordinary, perSecond: 150}).send(warming, chat)
		chat.WriteFile("20.ini", "[zone b]\nstate = out\n")
		c.Assert(chat.WaitRevision(ctx, 3), qt.IsNil)
		small := &stream{customer: "box-office", weight: 1, priority: ordinary, perSecond: 10}
		hurried := &stream{customer: "castle", weight: 1, priority: urgent, perSecond: 15}
		large := &stream{customer: "castle", weight: 1, priority: ordinary, perSecond: 400}
		larger := &stream{customer: "festival", weight: 3, priority: ordinary, perSecond: 400}
		flood, stop := context.WithTimeout(ctx, floodLength)
		defer stop()
		var wg sync.WaitGroup
		for _, s := range []*stream{small, hurried, large, larger} {
			wg.Go(func() { s.send(flood, chat) })
		}
		wg.Wait()
		for _, s := range []*stream{small, hurried, large, larger} {
			c.Logf("%v", s)
		}
		for _, s := range []*stream{small, hurried} {
			c.Check(s.verdicts[railverdict.NotRun]+s.verdicts[railverdict.MayHaveRun], qt.Equals, 0, qt.Commentf("%v", s))
		}
		share := float64(larger.verdicts[railverdict.Ran]) / float64(large.verdicts[railverdict.Ran]) / 3
		c.Check(share > 1-shareTolerance && share < 1+shareTolerance, qt.IsTrue, qt.Commentf("%.2f of the share by weight", share))
		for name, engine := range chat.engines {
			_, overloads, overLimit := engine.Counts()
			c.Check(overloads+overLimit, qt.Equals, 0, qt.Commentf(name))
		}
	})
}
