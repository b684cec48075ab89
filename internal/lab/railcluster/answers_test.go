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
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/node/railrouter"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/standin/railengine"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const chatFolder = `
[origin main]
region = a
[zone a]
region = a
[zone b]
region = b
[customer castle]
[service chat]
kind = engine
version = v1
coldLimit = 8
maxLimit = 16
`

// chat is a cluster of two zones with three engines and one entry each.
type chat struct {
	*railcluster.Cluster
	platform *railplatform.Platform
	engines  map[string]*railengine.Engine
	routers  []*railrouter.Router
	versions map[string]railmanifest.Manifest
}

// inChat runs a test's body with a cluster in virtual time.
func inChat(t *testing.T, seed uint64, cutShare float64, body func(ctx context.Context, c *qt.C, chat *chat)) {
	railvirtual.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		chat := startChat(ctx, c, seed, cutShare)
		body(ctx, c, chat)
		cancel()
		chat.Wait()
	})
}

func startChat(ctx context.Context, c *qt.C, seed uint64, cutShare float64) *chat {
	platform := &railplatform.Platform{Seed: seed}
	t := &chat{platform: platform, engines: map[string]*railengine.Engine{}, versions: map[string]railmanifest.Manifest{}}
	for _, version := range []string{"v1", "v2", "v3"} {
		t.versions[version] = platform.AddWeights(version, []byte(strings.Repeat(version, 5000)), 1000)
	}
	t.Cluster = newCluster(platform, seed)
	t.WriteFile("10.ini", chatFolder)
	for _, zone := range []string{"a", "b"} {
		for i := range 3 {
			name := fmt.Sprintf("chat-%s-%d", zone, i)
			engine := &railengine.Engine{
				ColdCapacity: 8, WarmCapacity: 16, WarmUpRequests: 10, FirstToken: 50 * time.Millisecond, BetweenTokens: 20 * time.Millisecond,
				LoadTime: 2 * time.Second, DownTime: time.Second, Incarnation: name, IgnoresFence: i == 0,
			}
			t.engines[name] = engine
			c.Assert(t.StartAgent(ctx, name, zone, "chat", engine), qt.IsNil)
		}
		r, err := t.StartRouter(ctx, "entry-"+zone, zone, t.Folder)
		c.Assert(err, qt.IsNil)
		t.routers = append(t.routers, r)
	}
	t.waitFor(ctx, c, "v1")
	time.Sleep(3 * time.Second)
	t.Network.SetResets(cutShare, 3000)
	return t
}

func (t *chat) waitFor(ctx context.Context, c *qt.C, version string) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Minute)
	defer cancel()
	c.Assert(t.WaitUntil(ctx, version+" is in service", func() bool {
		for _, e := range t.engines {
			if e.Digest() != t.versions[version].Digest() {
				return false
			}
		}
		return true
	}), qt.IsNil)
}

// load sends requests until ctx is done and checks that each answer is whole or known not to be.
func (t *chat) load(ctx context.Context, c *qt.C, pause time.Duration) (whole, broken int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		wg.Go(func() {
			req := railcluster.NewRequest("chat", "castle", "", `{"maxTokens": 12}`, true, 10*time.Second)
			verdict, frames, _ := railcluster.Submit(context.WithoutCancel(ctx), t.routers[n%len(t.routers)], req)
			mu.Lock()
			defer mu.Unlock()
			if verdict != railverdict.Ran {
				broken++
				return
			}
			whole++
			checkWhole(c, frames)
		})
		time.Sleep(pause)
	}
	wg.Wait()
	return whole, broken
}

func checkWhole(c *qt.C, frames []*railproto.Frame) {
	c.Assert(frames, qt.HasLen, 13)
	for i, f := range frames[:12] {
		c.Check(string(f.GetData()), qt.Contains, fmt.Sprintf(`"token":"t%d"`, i))
		c.Check(f.GetWeightsDigest(), qt.Equals, frames[0].GetWeightsDigest())
	}
	c.Check(frames[12].GetKind(), qt.Equals, railproto.FrameKind_FRAME_KIND_END)
}

func TestAnswersAreWholeOrKnownNotToBeWhenConnectionsAreCut(t *testing.T) {
	for seed := range uint64(5) {
		inChat(t, seed, 0.5, func(ctx context.Context, c *qt.C, chat *chat) {
			loading, stop := context.WithTimeout(ctx, 10*time.Second)
			defer stop()
			whole, broken := chat.load(loading, c, 50*time.Millisecond)
			c.Logf("seed %d: %d whole, %d broken", seed, whole, broken)
			c.Check(broken*20 <= whole, qt.IsTrue, qt.Commentf("%d of %d answers were not taken up again after a cut", broken, whole+broken))
		})
	}
}

func TestAnswerIsAbortedWhenTheEnginesWeightsChangeUnderIt(t *testing.T) {
	inChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chat) {
		var frames []*railproto.Frame
		req := railcluster.NewRequest("chat", "castle", "", `{"maxTokens": 500}`, true, 20*time.Second)
		work, stop := context.WithDeadline(ctx, req.Deadline)
		defer stop()
		verdict, last, _ := chat.routers[0].Forward(work, req, func(endpoint string, f *railproto.Frame) error {
			frames = append(frames, f)
			if len(frames) == 5 {
				// Somebody else orders the engine: it ignores fencing numbers and follows.
				engine := chat.engines[endpoint]
				for i, digest := range chat.versions["v2"].Chunks {
					start := i * 1000
					c.Check(engine.PutChunk(ctx, digest, []byte(strings.Repeat("v2", 5000))[start:min(start+1000, 10000)]), qt.IsNil)
				}
				go func() { _ = engine.LoadWeights(ctx, chat.versions["v2"].Encode(), 1<<40) }()
			}
			return nil
		})
		c.Check(verdict, qt.Equals, railverdict.MayHaveRun)
		c.Check(last.GetReason(), qt.Equals, railproto.Reason_REASON_MIXED_WEIGHTS)
		for _, f := range frames {
			c.Check(f.GetWeightsDigest(), qt.Equals, chat.versions["v1"].Digest())
		}
	})
}

func TestCallersCancelEndsTheEnginesWork(t *testing.T) {
	inChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chat) {
		served := 0
		req := railcluster.NewRequest("chat", "castle", "", `{"maxTokens": 500}`, true, 20*time.Second)
		work, stop := context.WithDeadline(ctx, req.Deadline)
		defer stop()
		name := ""
		_, _, err := chat.routers[0].Forward(work, req, func(endpoint string, _ *railproto.Frame) error {
			name = endpoint
			if served++; served == 3 {
				return errors.New("the caller's connection is gone")
			}
			return nil
		})
		c.Check(err, qt.IsNotNil)
		time.Sleep(500 * time.Millisecond)
		c.Check(chat.engines[name].Running(), qt.Equals, 0)
	})
}

func TestLeavingAgentCutsNothingAndGetsNoNewWork(t *testing.T) {
	inChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chat) {
		loading, stop := context.WithTimeout(ctx, 10*time.Second)
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
			began := time.Now()
			c.Check(chat.engines["chat-a-0"].Running() > 0, qt.IsTrue)
			c.Check(chat.StopAgent("chat-a-0"), qt.IsNil)
			c.Check(chat.engines["chat-a-0"].LastRequestStart().Sub(began) < 2*time.Second, qt.IsTrue)
			c.Check(chat.engines["chat-a-0"].Running(), qt.Equals, 0)
		})
		whole, broken := chat.load(loading, c, 30*time.Millisecond)
		wg.Wait()
		c.Check(whole > 100, qt.IsTrue)
		c.Check(broken, qt.Equals, 0)
	})
}

func TestRolloutKeepsAllButOneEngineOfAZoneServing(t *testing.T) {
	inChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chat) {
		watching, stopWatching := context.WithCancel(ctx)
		var wg sync.WaitGroup
		most := 0
		wg.Go(func() {
			for watching.Err() == nil {
				for _, zone := range []string{"a", "b"} {
					out := 0
					for i := range 3 {
						if chat.engines[fmt.Sprintf("chat-%s-%d", zone, i)].Digest() == "" {
							out++
						}
					}
					most = max(most, out)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
		loading, stop := context.WithCancel(ctx)
		wg.Go(func() {
			whole, broken := chat.load(loading, c, 40*time.Millisecond)
			c.Check(whole > 100, qt.IsTrue)
			c.Check(broken, qt.Equals, 0)
		})
		// During an outage of the platform serving goes on and switching waits; then a version is superseded in mid-flight,
		// and at last the old file is put back.
		chat.WriteFile("20.ini", "[service chat]\nversion = v2\n")
		c.Assert(chat.WaitRevision(ctx, 2), qt.IsNil)
		chat.platform.SetDown(true)
		time.Sleep(20 * time.Second)
		for name, engine := range chat.engines {
			c.Check(engine.Digest(), qt.Not(qt.Equals), "", qt.Commentf(name))
		}
		chat.platform.SetDown(false)
		chat.waitFor(ctx, c, "v2")
		chat.WriteFile("20.ini", "[service chat]\nversion = v3\n")
		time.Sleep(4 * time.Second)
		chat.RemoveFile("20.ini")
		chat.waitFor(ctx, c, "v1")
		stop()
		stopWatching()
		wg.Wait()
		c.Check(most, qt.Equals, 1)
	})
}

// No engine is ever idle by itself: each must be drained for its switch, and no answer may break.
func TestRolloutDrainsEnginesThatAreNeverIdle(t *testing.T) {
	inChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chat) {
		loading, stop := context.WithCancel(ctx)
		var wg sync.WaitGroup
		wg.Go(func() {
			whole, broken := chat.load(loading, c, 10*time.Millisecond)
			c.Check(whole > 100, qt.IsTrue)
			c.Check(broken, qt.Equals, 0)
		})
		time.Sleep(5 * time.Second)
		chat.WriteFile("20.ini", "[service chat]\nversion = v2\n")
		chat.waitFor(ctx, c, "v2")
		stop()
		wg.Wait()
	})
}

func TestRolloutTakesOneEngineOfAServiceWhileAZoneIsOut(t *testing.T) {
	inChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chat) {
		chat.WriteFile("30.ini", "[zone c]\nregion = c\nstate = out\n")
		c.Assert(chat.WaitRevision(ctx, 2), qt.IsNil)
		time.Sleep(2 * time.Second)
		chat.WriteFile("20.ini", "[service chat]\nversion = v2\n")
		watching, stop := context.WithCancel(ctx)
		var wg sync.WaitGroup
		most := 0
		wg.Go(func() {
			for watching.Err() == nil {
				out := 0
				for _, engine := range chat.engines {
					if engine.Digest() == "" {
						out++
					}
				}
				most = max(most, out)
				time.Sleep(20 * time.Millisecond)
			}
		})
		chat.waitFor(ctx, c, "v2")
		stop()
		wg.Wait()
		c.Check(most, qt.Equals, 1)
	})
}
