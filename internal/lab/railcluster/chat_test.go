package railcluster_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railcluster"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/node/railrouter"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/standin/railengine"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const chatConfig = `
[origin main]
region = a
[zone a]
region = a
[zone b]
region = b
[customer castle]
[customer tower]
[service chat]
kind = engine
version = v1
coldLimit = 8
maxLimit = 16
`

// chatCluster is a cluster of two zones with three engines and one entry per zone.
type chatCluster struct {
	*railcluster.Cluster
	platform  *railplatform.Platform
	engines   map[string]*railengine.Engine
	routers   []*railrouter.Router
	manifests map[string]railmanifest.Manifest
}

// runChat runs body with a chat cluster in virtual time.
func runChat(t *testing.T, seed uint64, resetProbability float64, body func(ctx context.Context, c *qt.C, chat *chatCluster)) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		chat := startChatCluster(ctx, c, seed, resetProbability)
		body(ctx, c, chat)
		cancel()
		chat.Wait()
	})
}

func startChatCluster(ctx context.Context, c *qt.C, seed uint64, resetProbability float64) *chatCluster {
	platform := &railplatform.Platform{Seed: seed}
	cc := &chatCluster{platform: platform, engines: map[string]*railengine.Engine{}, manifests: map[string]railmanifest.Manifest{}}
	for _, version := range []string{"v1", "v2", "v3"} {
		cc.manifests[version] = platform.AddWeights(version, []byte(strings.Repeat(version, 5000)), 1000)
	}
	cc.Cluster = newCluster(platform, seed)
	cc.WriteFile("10.ini", chatConfig)
	for _, zone := range []string{"a", "b"} {
		for i := range 3 {
			name := fmt.Sprintf("chat-%s-%d", zone, i)
			engine := &railengine.Engine{
				ColdCapacity: 8, WarmCapacity: 16, WarmUpRequests: 10, FirstToken: 50 * time.Millisecond, BetweenTokens: 20 * time.Millisecond,
				LoadTime: 2 * time.Second, DownTime: time.Second, Incarnation: name, IgnoresFence: i == 0,
			}
			cc.engines[name] = engine
			c.Assert(cc.StartAgent(ctx, name, zone, "chat", engine), qt.IsNil)
		}
		r, err := cc.StartRouter(ctx, "entry-"+zone, zone, cc.Folder)
		c.Assert(err, qt.IsNil)
		cc.routers = append(cc.routers, r)
	}
	cc.waitForVersion(ctx, c, "v1")
	time.Sleep(3 * time.Second)
	cc.Network.SetResets(resetProbability, 3000)
	return cc
}

func (cc *chatCluster) waitForVersion(ctx context.Context, c *qt.C, version string) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Minute)
	defer cancel()
	c.Assert(cc.WaitUntil(ctx, version+" is in service", func() bool {
		for _, e := range cc.engines {
			if e.Digest() != cc.manifests[version].Digest() {
				return false
			}
		}
		return true
	}), qt.IsNil)
}

// sendRequests sends a request per interval until ctx is done, and checks that each response is complete or reported as
// failed. It returns the number of each.
func (cc *chatCluster) sendRequests(ctx context.Context, c *qt.C, interval time.Duration) (completed, failed int) {
	return cc.sendBodies(ctx, c, interval, func(int) string { return `{"maxTokens": 12}` })
}

// sendBodies does the same as sendRequests, with the body that the function returns for the number of a request. Each must ask for 12 tokens.
func (cc *chatCluster) sendBodies(ctx context.Context, c *qt.C, interval time.Duration, body func(n int) string) (completed, failed int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		wg.Go(func() {
			req := railcluster.NewRequest("chat", "castle", "", body(n), true, 10*time.Second)
			verdict, frames, _ := railcluster.Submit(context.WithoutCancel(ctx), cc.routers[n%len(cc.routers)], req)
			mu.Lock()
			defer mu.Unlock()
			if verdict != railverdict.Ran {
				failed++
				return
			}
			completed++
			checkComplete(c, frames)
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return completed, failed
}

func checkComplete(c *qt.C, frames []*railproto.Frame) {
	c.Assert(frames, qt.HasLen, 13)
	for i, f := range frames[:12] {
		c.Check(string(f.GetData()), qt.Contains, fmt.Sprintf(`"token":"t%d"`, i))
		c.Check(f.GetWeightsDigest(), qt.Equals, frames[0].GetWeightsDigest())
	}
	c.Check(frames[12].GetKind(), qt.Equals, railproto.FrameKind_FRAME_KIND_END)
}

func TestResponsesAreCompleteOrReportedAsFailedWhenConnectionsAreReset(t *testing.T) {
	for seed := range uint64(5) {
		runChat(t, seed, 0.5, func(ctx context.Context, c *qt.C, chat *chatCluster) {
			loadCtx, stop := context.WithTimeout(ctx, 10*time.Second)
			defer stop()
			completed, failed := chat.sendRequests(loadCtx, c, 50*time.Millisecond)
			c.Logf("seed %d: %d completed, %d failed", seed, completed, failed)
			c.Check(failed*20 <= completed, qt.IsTrue, qt.Commentf("%d of %d responses failed, want at most 1 per 20 completed", failed, completed+failed))
		})
	}
}

func TestResponseIsAbortedWhenEngineWeightsChange(t *testing.T) {
	runChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chatCluster) {
		var frames []*railproto.Frame
		req := railcluster.NewRequest("chat", "castle", "", `{"maxTokens": 500}`, true, 20*time.Second)
		reqCtx, stop := context.WithDeadline(ctx, req.Deadline)
		defer stop()
		verdict, lastFrame, _ := chat.routers[0].Forward(reqCtx, req, func(endpoint string, f *railproto.Frame) error {
			frames = append(frames, f)
			if len(frames) == 5 {
				// Another process loads other weights: this engine ignores fencing tokens and obeys.
				engine := chat.engines[endpoint]
				for i, digest := range chat.manifests["v2"].Chunks {
					start := i * 1000
					c.Check(engine.PutChunk(ctx, digest, []byte(strings.Repeat("v2", 5000))[start:min(start+1000, 10000)]), qt.IsNil)
				}
				go func() { _ = engine.LoadWeights(ctx, chat.manifests["v2"].Encode(), 1<<40) }()
			}
			return nil
		})
		c.Check(verdict, qt.Equals, railverdict.MayHaveRun)
		c.Check(lastFrame.GetReason(), qt.Equals, railproto.Reason_REASON_MIXED_WEIGHTS)
		for _, f := range frames {
			c.Check(f.GetWeightsDigest(), qt.Equals, chat.manifests["v1"].Digest())
		}
	})
}

func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	runChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chatCluster) {
		frameCount := 0
		req := railcluster.NewRequest("chat", "castle", "", `{"maxTokens": 500}`, true, 20*time.Second)
		reqCtx, stop := context.WithDeadline(ctx, req.Deadline)
		defer stop()
		endpointName := ""
		_, _, err := chat.routers[0].Forward(reqCtx, req, func(endpoint string, _ *railproto.Frame) error {
			endpointName = endpoint
			if frameCount++; frameCount == 3 {
				return errors.New("the caller's connection is gone")
			}
			return nil
		})
		c.Check(err, qt.IsNotNil)
		time.Sleep(500 * time.Millisecond)
		c.Check(chat.engines[endpointName].Running(), qt.Equals, 0)
	})
}

func TestLeavingAgentCompletesRunningRequestsAndGetsNoNewOnes(t *testing.T) {
	runChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chatCluster) {
		loadCtx, stop := context.WithTimeout(ctx, 10*time.Second)
		defer stop()
		var wg sync.WaitGroup
		for range 12 {
			wg.Go(func() {
				time.Sleep(2 * time.Second)
				req := railcluster.NewRequest("chat", "castle", "", `{"maxTokens": 250}`, true, 20*time.Second)
				verdict, _, _ := railcluster.Submit(ctx, chat.routers[0], req)
				c.Check(verdict, qt.Equals, railverdict.Ran)
			})
		}
		wg.Go(func() {
			time.Sleep(3 * time.Second)
			leaveStart := time.Now()
			c.Check(chat.engines["chat-a-0"].Running() > 0, qt.IsTrue)
			c.Check(chat.StopAgent("chat-a-0"), qt.IsNil)
			c.Check(chat.engines["chat-a-0"].LastRequestStart().Sub(leaveStart) < 2*time.Second, qt.IsTrue)
			c.Check(chat.engines["chat-a-0"].Running(), qt.Equals, 0)
		})
		completed, failed := chat.sendRequests(loadCtx, c, 30*time.Millisecond)
		wg.Wait()
		c.Check(completed > 100, qt.IsTrue)
		c.Check(failed, qt.Equals, 0)
	})
}

func TestRolloutSwitchesOneEnginePerZoneAtATime(t *testing.T) {
	runChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chatCluster) {
		watchCtx, stopWatch := context.WithCancel(ctx)
		var wg sync.WaitGroup
		maxUnavailable := 0
		wg.Go(func() {
			for watchCtx.Err() == nil {
				for _, zone := range []string{"a", "b"} {
					unavailable := 0
					for i := range 3 {
						if chat.engines[fmt.Sprintf("chat-%s-%d", zone, i)].Digest() == "" {
							unavailable++
						}
					}
					maxUnavailable = max(maxUnavailable, unavailable)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
		loadCtx, stop := context.WithCancel(ctx)
		wg.Go(func() {
			completed, failed := chat.sendRequests(loadCtx, c, 40*time.Millisecond)
			c.Check(completed > 100, qt.IsTrue)
			c.Check(failed, qt.Equals, 0)
		})
		// During a platform outage engines keep serving and don't switch weights. Then a version is superseded during its
		// rollout, and at last the original configuration is restored.
		chat.WriteFile("20.ini", "[service chat]\nversion = v2\n")
		c.Assert(chat.WaitRevision(ctx, 2), qt.IsNil)
		chat.platform.SetDown(true)
		time.Sleep(20 * time.Second)
		for name, engine := range chat.engines {
			c.Check(engine.Digest(), qt.Not(qt.Equals), "", qt.Commentf(name))
		}
		chat.platform.SetDown(false)
		chat.waitForVersion(ctx, c, "v2")
		chat.WriteFile("20.ini", "[service chat]\nversion = v3\n")
		time.Sleep(4 * time.Second)
		chat.RemoveFile("20.ini")
		chat.waitForVersion(ctx, c, "v1")
		stop()
		stopWatch()
		wg.Wait()
		c.Check(maxUnavailable, qt.Equals, 1)
	})
}

// The load keeps every engine busy: each must be drained before it switches weights, and no response may fail.
func TestRolloutDrainsBusyEngines(t *testing.T) {
	runChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chatCluster) {
		loadCtx, stop := context.WithCancel(ctx)
		var wg sync.WaitGroup
		wg.Go(func() {
			completed, failed := chat.sendRequests(loadCtx, c, 10*time.Millisecond)
			c.Check(completed > 100, qt.IsTrue)
			c.Check(failed, qt.Equals, 0)
		})
		time.Sleep(5 * time.Second)
		chat.WriteFile("20.ini", "[service chat]\nversion = v2\n")
		chat.waitForVersion(ctx, c, "v2")
		stop()
		wg.Wait()
	})
}

func TestRolloutSwitchesOneEnginePerServiceWhileAZoneIsOut(t *testing.T) {
	runChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chatCluster) {
		chat.WriteFile("30.ini", "[zone c]\nregion = c\nstate = out\n")
		c.Assert(chat.WaitRevision(ctx, 2), qt.IsNil)
		time.Sleep(2 * time.Second)
		chat.WriteFile("20.ini", "[service chat]\nversion = v2\n")
		watchCtx, stop := context.WithCancel(ctx)
		var wg sync.WaitGroup
		maxUnavailable := 0
		wg.Go(func() {
			for watchCtx.Err() == nil {
				unavailable := 0
				for _, engine := range chat.engines {
					if engine.Digest() == "" {
						unavailable++
					}
				}
				maxUnavailable = max(maxUnavailable, unavailable)
				time.Sleep(20 * time.Millisecond)
			}
		})
		chat.waitForVersion(ctx, c, "v2")
		stop()
		wg.Wait()
		c.Check(maxUnavailable, qt.Equals, 1)
	})
}
