package railcluster_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/lab/railcluster"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/routing/raildispatcher"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

const (
	// limitWindow is the time within which an engine's limit is kept.
	limitWindow = 4 * time.Second
	// limitKnown is the time after which entries must have learned of a limit by heartbeats.
	limitKnown = 3 * time.Second
)

// limitEngine lets an engine say in a response that it takes so many requests per second.
func (cc *chatCluster) limitEngine(name string, perSecond float64) {
	cc.RecordLimit(name, railendpoint.LimitReport{SentAt: time.Now(), PerSecond: perSecond, Limited: true})
}

// worstWindow returns the largest number of requests that an engine has got in any limitWindow since the given time.
func (cc *chatCluster) worstWindow(name string, since time.Time) int {
	worst := 0
	starts := cc.engines[name].RequestStarts()
	for first, begin := range starts {
		n := 0
		for _, at := range starts[first:] {
			if at.Sub(begin) < limitWindow {
				n++
			}
		}
		if !begin.Before(since) {
			worst = max(worst, n)
		}
	}
	return worst
}

// outcomes are the numbers of requests by how they ended, and the longest time to a response.
type outcomes struct {
	completed, rejected, failed int
	// rejectedAtOnce is the number of rejections within 100 ms.
	rejectedAtOnce   int
	longestCompleted time.Duration
}

// sendTimed sends a request per interval for a while, each of which may take as long as timeout.
func (cc *chatCluster) sendTimed(ctx context.Context, duration, interval, timeout time.Duration) outcomes {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var o outcomes
	end := time.Now().Add(duration)
	for n := 0; time.Now().Before(end); n++ {
		wg.Go(func() {
			start := time.Now()
			req := railcluster.NewRequest("chat", "castle", "", `{"maxTokens": 12}`, true, timeout)
			verdict, _, _ := railcluster.Submit(ctx, cc.routers[n%len(cc.routers)], req)
			mu.Lock()
			defer mu.Unlock()
			switch verdict {
			case railverdict.Ran:
				o.completed++
				o.longestCompleted = max(o.longestCompleted, time.Since(start))
			case railverdict.NotRun:
				o.rejected++
				if time.Since(start) < 100*time.Millisecond {
					o.rejectedAtOnce++
				}
			case railverdict.MayHaveRun:
				o.failed++
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return o
}

// The pattern of a service whose engines all name limits below the demand. Guards against engines in need that get more requests than they take.
func TestLimitedEnginesGetNoMoreThanTheyTake(t *testing.T) {
	runChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chatCluster) {
		limits := map[string]float64{"chat-a-0": 3.2, "chat-a-1": 1, "chat-a-2": 0.5, "chat-b-0": 3.2, "chat-b-1": 1.5, "chat-b-2": 0}
		total := 0.0
		for name, limit := range limits {
			chat.limitEngine(name, limit)
			total += limit
		}
		since := time.Now()
		const duration = 40 * time.Second
		o := chat.sendTimed(ctx, duration, 30*time.Millisecond, 5*time.Second)
		c.Logf("%+v", o)
		for name, limit := range limits {
			allowed := int(limit * limitWindow.Seconds())
			if limit > 0 && limit < 1 {
				allowed++ // Less than one a second is kept in longer times.
			}
			c.Check(chat.worstWindow(name, since) <= allowed, qt.IsTrue, qt.Commentf("%s got %d in a window, may get %d", name, chat.worstWindow(name, since), allowed))
		}
		c.Check(o.failed, qt.Equals, 0)
		c.Check(float64(o.rejectedAtOnce) >= 0.9*float64(o.rejected), qt.IsTrue, qt.Commentf("%d of %d rejected at once", o.rejectedAtOnce, o.rejected))
		c.Check(float64(o.completed) >= 0.8*total*duration.Seconds(), qt.IsTrue, qt.Commentf("%d completed of %v that the engines take", o.completed, total*duration.Seconds()))
	})
}

// The pattern of one engine in need beside others with room. Guards against callers who wait for it or are refused.
func TestOtherEnginesServeWhatALimitedEngineDoesNotTake(t *testing.T) {
	runChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chatCluster) {
		before := chat.sendTimed(ctx, 10*time.Second, 50*time.Millisecond, 10*time.Second)
		chat.limitEngine("chat-a-1", 0.5)
		since := time.Now()
		o := chat.sendTimed(ctx, 20*time.Second, 50*time.Millisecond, 10*time.Second)
		c.Logf("before %+v, limited %+v", before, o)
		c.Check(o.failed+o.rejected, qt.Equals, 0)
		c.Check(o.longestCompleted <= before.longestCompleted+200*time.Millisecond, qt.IsTrue)
		c.Check(chat.worstWindow("chat-a-1", since) <= 3, qt.IsTrue)
	})
}

// Guards against requests that wait until their deadline though no engine takes one by then.
func TestRequestIsRejectedAtOnceWhileNoEngineTakesItInTime(t *testing.T) {
	runChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chatCluster) {
		for name := range chat.engines {
			chat.limitEngine(name, 0.04)
		}
		time.Sleep(limitKnown)
		start := time.Now()
		verdict, _, err := railcluster.Submit(ctx, chat.routers[0], railcluster.NewRequest("chat", "castle", "", `{"maxTokens": 12}`, true, 10*time.Second))
		var paused *raildispatcher.PausedError
		c.Assert(err, qt.ErrorAs, &paused)
		c.Check(verdict, qt.Equals, railverdict.NotRun)
		c.Check(time.Since(start) < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(start)))
		c.Check(paused.Remaining > 20*time.Second && paused.Remaining <= 22*time.Second, qt.IsTrue, qt.Commentf("%s", paused.Remaining))
		time.Sleep(22 * time.Second)
		verdict, _, err = railcluster.Submit(ctx, chat.routers[0], railcluster.NewRequest("chat", "castle", "", `{"maxTokens": 12}`, true, 10*time.Second))
		c.Check(err, qt.IsNil)
		c.Check(verdict, qt.Equals, railverdict.Ran)
	})
}

// Guards against requests that wait in an entry's queue, and run, for a customer whom a new configuration has dropped.
func TestWaitingRequestOfADroppedCustomerIsRejected(t *testing.T) {
	runChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chatCluster) {
		for name := range chat.engines {
			chat.limitEngine(name, 0.04)
		}
		time.Sleep(limitKnown)
		submit := func(customer string) <-chan railverdict.Verdict {
			verdicts := make(chan railverdict.Verdict, 1)
			go func() {
				req := railcluster.NewRequest("chat", customer, "", `{"maxTokens": 12}`, true, time.Minute)
				verdict, _, _ := railcluster.Submit(ctx, chat.routers[0], req)
				verdicts <- verdict
			}()
			return verdicts
		}
		dropped, kept := submit("castle"), submit("tower")
		time.Sleep(time.Second)
		chat.WriteFile("10.ini", strings.Replace(chatConfig, "[customer castle]\n", "", 1))
		start := time.Now()
		c.Check(<-dropped, qt.Equals, railverdict.NotRun)
		c.Check(time.Since(start) < 3*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(start)))
		c.Check(<-kept, qt.Equals, railverdict.Ran)
	})
}

// Guards against requests that wait for the claim on their key and all reach the endpoint at the same time.
func TestClaimedRequestsAreSpacedWhenTheyReachTheEndpoint(t *testing.T) {
	o := &ordersCluster{seed: 1}
	o.run(t, &railplatform.Platform{Seed: 1}, func(ctx context.Context, c *qt.C) {
		const perWindow = 12 // The limit is three per second.
		var mu sync.Mutex
		starts := map[string][]time.Time{}
		for name, service := range o.orderServices {
			service.OnCommit = func(string, string) {
				mu.Lock()
				defer mu.Unlock()
				starts[name] = append(starts[name], time.Now())
			}
			o.RecordLimit(name, railendpoint.LimitReport{SentAt: time.Now(), PerSecond: 3, Limited: true})
		}
		var wg sync.WaitGroup
		for n := range 300 {
			wg.Go(func() {
				req := railcluster.NewRequest("orders", "castle", fmt.Sprint("key-", n), "order", false, 10*time.Second)
				_, _, _ = railcluster.Submit(ctx, o.routers["entry-"+zones[n%len(zones)]], req)
			})
			time.Sleep(100 * time.Millisecond)
			o.Platform.SetStoreDown(n%100 >= 40 && n%100 < 80)
		}
		wg.Wait()
		c.Check(starts, qt.HasLen, len(zones))
		for name, at := range starts {
			for i := perWindow; i < len(at); i++ {
				c.Check(at[i].Sub(at[i-perWindow]) >= limitWindow, qt.IsTrue, qt.Commentf("%s got %d in %s", name, perWindow+1, at[i].Sub(at[i-perWindow])))
			}
		}
	})
}
