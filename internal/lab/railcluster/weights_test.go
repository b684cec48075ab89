package railcluster_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railcluster"
	"github.com/fulmarrail/fulmarrail/internal/standin/railengine"
)

// newestFence is a fencing token that no engine has seen.
const newestFence = 1 << 40

// corruptingEngine is the engine to which corrupt chunks are put. It obeys orders with stale fencing tokens.
const corruptingEngine = "chat-a-0"

// Guards against answers from corrupt weights: the agent took any weights for good that its engine had completely loaded, and what it had
// last read for what the engine still serves.
func TestNoAnswerComesFromCorruptWeights(t *testing.T) {
	type clusterFault func(ctx context.Context, c *qt.C, chat *chatCluster, engine *railengine.Engine)
	tests := map[string]clusterFault{
		"a chunk is corrupt at the rollout": func(ctx context.Context, c *qt.C, chat *chatCluster, engine *railengine.Engine) {
			chat.corruptChunk(ctx, c, engine, "v2")
			chat.WriteFile("20.ini", "[service chat]\nversion = v2\n")
		},
		"the agent is killed while the engine loads": func(ctx context.Context, c *qt.C, chat *chatCluster, engine *railengine.Engine) {
			chat.corruptChunk(ctx, c, engine, "v2")
			chat.WriteFile("20.ini", "[service chat]\nversion = v2\n")
			c.Assert(chat.WaitUntil(ctx, "the engine loads", func() bool { return engine.Digest() == "" }), qt.IsNil)
			chat.KillAgent(corruptingEngine)
			c.Assert(chat.RestartAgent(ctx, corruptingEngine), qt.IsNil)
		},
		"the agent is killed and comes back after the load": func(ctx context.Context, c *qt.C, chat *chatCluster, engine *railengine.Engine) {
			chat.corruptChunk(ctx, c, engine, "v2")
			chat.WriteFile("20.ini", "[service chat]\nversion = v2\n")
			c.Assert(chat.WaitUntil(ctx, "the engine loads", func() bool { return engine.Digest() == "" }), qt.IsNil)
			chat.KillAgent(corruptingEngine)
			time.Sleep(5 * time.Second)
			c.Assert(chat.RestartAgent(ctx, corruptingEngine), qt.IsNil)
		},
		"a late order is taken behind the agent's back": func(ctx context.Context, c *qt.C, chat *chatCluster, engine *railengine.Engine) {
			chat.corruptChunk(ctx, c, engine, "v1")
			c.Check(engine.LoadWeights(ctx, chat.manifests["v1"].Encode(), newestFence), qt.IsNil)
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			runChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chatCluster) {
				loadCtx, stop := context.WithCancel(ctx)
				defer stop()
				answers := make(chan map[string]int, 1)
				go func() { answers <- chat.countWeights(loadCtx, 10*time.Millisecond) }()
				time.Sleep(time.Second)
				fault(ctx, c, chat, chat.engines[corruptingEngine])
				time.Sleep(20 * time.Second)
				stop()
				counts := <-answers
				for _, m := range chat.manifests {
					delete(counts, m.Digest())
				}
				c.Check(counts, qt.HasLen, 0)
			})
		})
	}
}

// Guards against an engine that loads the same corrupt chunk for ever, and keeps the others from their slot meanwhile.
func TestCorruptChunkAtEngineIsFetchedAgain(t *testing.T) {
	runChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chatCluster) {
		chat.corruptChunk(ctx, c, chat.engines[corruptingEngine], "v2")
		chat.WriteFile("20.ini", "[service chat]\nversion = v2\n")
		ctx, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		for name, engine := range chat.engines {
			inService := func() bool { return engine.Digest() == chat.manifests["v2"].Digest() }
			c.Check(chat.WaitUntil(ctx, "v2 is in service", inService), qt.IsNil, qt.Commentf(name))
		}
	})
}

// Guards against an engine that is out of service since its agent has started anew while its zone's engines still serve the previous version.
func TestAgentTakesOverEngineWithPreviousVersion(t *testing.T) {
	runChat(t, 1, 0, func(ctx context.Context, c *qt.C, chat *chatCluster) {
		for _, engine := range chat.engines {
			engine.SetLoadTime(time.Minute) // No engine but the first in each zone comes to its load.
		}
		chat.WriteFile("20.ini", "[service chat]\nversion = v2\n")
		time.Sleep(5 * time.Second)
		restarted := map[string]time.Time{}
		for name, engine := range chat.engines {
			if engine.Digest() == chat.manifests["v1"].Digest() {
				chat.KillAgent(name)
				c.Assert(chat.RestartAgent(ctx, name), qt.IsNil)
				restarted[name] = time.Now()
			}
		}
		c.Assert(restarted, qt.HasLen, 4)
		time.Sleep(5 * time.Second)
		loadCtx, stop := context.WithTimeout(ctx, 5*time.Second)
		defer stop()
		_, failed := chat.sendRequests(loadCtx, c, 20*time.Millisecond)
		c.Check(failed, qt.Equals, 0)
		for name, at := range restarted {
			c.Check(chat.engines[name].LastRequestStart().After(at), qt.IsTrue, qt.Commentf(name))
		}
	})
}

// corruptChunk puts a chunk of a version to an engine whose content doesn't match its digest.
func (cc *chatCluster) corruptChunk(ctx context.Context, c *qt.C, engine *railengine.Engine, version string) {
	c.Assert(engine.PutChunk(ctx, cc.manifests[version].Chunks[0], []byte("corrupt")), qt.IsNil)
}

// countWeights sends a request per interval until ctx is done, and returns how many parts of the responses came from which weights.
func (cc *chatCluster) countWeights(ctx context.Context, interval time.Duration) map[string]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	counts := map[string]int{}
	for n := 0; ctx.Err() == nil; n++ {
		wg.Go(func() {
			req := railcluster.NewRequest("chat", "castle", "", `{"maxTokens": 12}`, true, 10*time.Second)
			_, frames, _ := railcluster.Submit(context.WithoutCancel(ctx), cc.routers[n%len(cc.routers)], req)
			mu.Lock()
			defer mu.Unlock()
			for _, f := range frames {
				counts[f.GetWeightsDigest()]++
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return counts
}
