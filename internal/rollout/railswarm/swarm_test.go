package railswarm_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"github.com/fulmarrail/fulmarrail/internal/lab/railpacedlink"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunkserver"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmemstore"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railratelimit"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railswarm"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railuploads"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	chunks     = 96
	chunkBytes = 24_576
	// linkRate is the rate of an agent's link and of the origin's, in bytes per second, and slowLinkRate that of a slow link.
	linkRate     = 912_500
	slowLinkRate = 113_750
	uploadSlots  = 1
	// uploadShare is the share of a link that uploads may use.
	uploadShare = 0.92
	latency     = time.Millisecond
)

// copyTime is the time that it takes to send all chunks over one link.
var copyTime = chunks * chunkBytes * time.Second / linkRate

var errDisconnected = errors.New("agent is disconnected")

// agent is an agent with a link in each direction.
type agent struct {
	member       railmember.Member
	up, down     railpacedlink.Link
	store        *railchunks.Store
	chunkServer  *railchunkserver.Server
	swarm        *railswarm.Swarm
	disconnected atomic.Bool
	corrupting   atomic.Bool
	imported     atomic.Int64
}

// cluster is a set of agents in three regions, and an origin.
type cluster struct {
	t            *testing.T
	manifest     railmanifest.Manifest
	data         map[string][]byte
	originLink   railpacedlink.Link
	originChunks atomic.Int64
	originDown   atomic.Bool

	mu         sync.Mutex
	agents     map[string]*agent
	memberList []railmember.Member
}

func newCluster(t *testing.T) *cluster {
	weights := make([]byte, chunks*chunkBytes)
	for i := range weights {
		weights[i] = byte(i >> 3 * i / chunkBytes)
	}
	for i := range chunks {
		copy(weights[i*chunkBytes:], fmt.Sprintf("chunk %d", i))
	}
	c := &cluster{t: t, manifest: railmanifest.New("2", weights, chunkBytes), data: map[string][]byte{}, agents: map[string]*agent{}}
	for i, digest := range c.manifest.Chunks {
		c.data[digest] = weights[i*chunkBytes : (i+1)*chunkBytes]
	}
	c.originLink.BytesPerSecond = linkRate
	return c
}

// addAgent adds an agent; a seeded one holds every chunk.
func (c *cluster) addAgent(index int, rate float64, seeded bool) *agent {
	region := fmt.Sprintf("region-%d", index%3)
	return c.addMember(railmember.Member{Name: fmt.Sprintf("agent-%02d", index), Role: railmember.RoleAgent, Zone: region, Region: region}, rate, seeded)
}

// addMember adds an agent and, if it is seeded, starts its swarm so that it announces its chunks.
func (c *cluster) addMember(m railmember.Member, rate float64, seeded bool) *agent {
	a := &agent{
		member: m,
		store:  &railchunks.Store{Backend: &railmemstore.MemoryStore{}},
	}
	a.up.BytesPerSecond, a.down.BytesPerSecond = rate, rate
	a.chunkServer = &railchunkserver.Server{Store: a.store, Uploads: &railuploads.Scheduler{Slots: uploadSlots}, Pacer: &railratelimit.Pacer{Burst: 32 << 10}}
	a.chunkServer.Pacer.SetRate(uploadShare*linkRate, 0)
	a.swarm = &railswarm.Swarm{
		Self: a.member, Store: a.store, Members: c.members, OriginRegion: func() string { return "region-0" }, Seed: 9,
		RequestChunk: func(ctx context.Context, m railmember.Member, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
			return c.requestChunk(ctx, a, m, req)
		},
		SendInventory: func(m railmember.Member, inventory *railproto.Inventory) { c.sendInventory(a, m, inventory) },
		FetchFromOrigin: func(ctx context.Context, digest string) ([]byte, error) {
			return c.fetchFromOrigin(ctx, a, digest)
		},
		Log: slog.New(slog.DiscardHandler),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agents[a.member.Name] = a
	c.memberList = append(c.memberList, a.member)
	if seeded {
		for digest, data := range c.data {
			qt.Assert(c.t, a.store.Put(c.t.Context(), digest, data), qt.IsNil)
		}
		go func() { qt.Check(c.t, a.swarm.Fetch(c.t.Context(), c.manifest), qt.IsNil) }()
	}
	return a
}

// addAgents adds n agents with equal links.
func (c *cluster) addAgents(first, n int, rate float64, seeded bool) []*agent {
	var agents []*agent
	for i := range n {
		agents = append(agents, c.addAgent(first+i, rate, seeded))
	}
	return agents
}

// importedBy returns the number of chunks that a region's agents received from other regions.
func (c *cluster) importedBy(region string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := int64(0)
	for _, a := range c.agents {
		if a.member.Region == region {
			sum += a.imported.Load()
		}
	}
	return sum
}

func (c *cluster) agent(name string) *agent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agents[name]
}

func (c *cluster) members() []railmember.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.memberList)
}

func (c *cluster) requestChunk(ctx context.Context, to *agent, m railmember.Member, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
	source := c.agent(m.Name)
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if source.disconnected.Load() || to.disconnected.Load() {
		<-ctx.Done()
		return nil, errDisconnected
	}
	time.Sleep(latency)
	reply, err := source.chunkServer.Chunk(ctx, req)
	if err != nil || len(reply.GetData()) == 0 {
		return reply, err
	}
	if err := railpacedlink.Transfer(ctx, chunkBytes, &source.up, &to.down); err != nil {
		return nil, err
	}
	if source.disconnected.Load() {
		return nil, errDisconnected
	}
	if source.member.Region != to.member.Region {
		to.imported.Add(1)
	}
	if source.corrupting.Load() {
		return &railproto.ChunkReply{Data: []byte("something else"), Held: true}, nil
	}
	return reply, nil
}

func (c *cluster) sendInventory(from *agent, m railmember.Member, inventory *railproto.Inventory) {
	to := c.agent(m.Name)
	if from.disconnected.Load() || to.disconnected.Load() {
		return
	}
	time.AfterFunc(latency, func() { to.swarm.HandleInventory(from.member, inventory) })
}

func (c *cluster) fetchFromOrigin(ctx context.Context, to *agent, digest string) ([]byte, error) {
	if c.originDown.Load() || to.disconnected.Load() {
		return nil, errDisconnected
	}
	if err := railpacedlink.Transfer(ctx, chunkBytes, &c.originLink, &to.down); err != nil {
		return nil, err
	}
	if c.originDown.Load() {
		return nil, errDisconnected
	}
	c.originChunks.Add(1)
	return c.data[digest], nil
}

// fetch runs the agents' downloads concurrently and returns the time that each of them took.
func (c *cluster) fetch(agents ...*agent) map[string]time.Duration {
	var mu sync.Mutex
	took := map[string]time.Duration{}
	began := time.Now()
	var wg sync.WaitGroup
	for _, a := range agents {
		wg.Go(func() {
			err := a.swarm.Fetch(c.t.Context(), c.manifest)
			qt.Check(c.t, err, qt.IsNil)
			mu.Lock()
			defer mu.Unlock()
			took[a.member.Name] = time.Since(began)
		})
	}
	wg.Wait()
	return took
}

// longest returns the largest of the given durations.
func longest(took map[string]time.Duration) time.Duration {
	var longestTime time.Duration
	for _, t := range took {
		longestTime = max(longestTime, t)
	}
	return longestTime
}

const (
	// maxFetchTime is the time limit of a download that the links permit in one copyTime.
	maxFetchTime = chunks * chunkBytes * time.Second / linkRate * 3 / 2
	// maxChunkTransfers bounds the chunks that the origin sends in total, and those that one region receives from the others.
	maxChunkTransfers = chunks * 115 / 100
)

func TestSwarmFetchesNewVersionInLittleMoreThanOneCopyTime(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t)
		took := longest(c.fetch(c.addAgents(0, 27, linkRate, false)...))
		qt.Check(t, took < maxFetchTime, qt.IsTrue, qt.Commentf("took %s; one copy takes %s", took, copyTime))
		qt.Check(t, c.originChunks.Load() <= maxChunkTransfers, qt.IsTrue, qt.Commentf("%d chunks fetched from the origin", c.originChunks.Load()))
		qt.Check(t, c.importedBy("region-1") <= maxChunkTransfers, qt.IsTrue, qt.Commentf("%d chunks imported", c.importedBy("region-1")))
	})
}

// Guards against each agent of a large region requesting chunks from all others: everyone then requested a source's first
// chunks at once, and 99 agents took three times as long.
func TestLargeSwarmTakesLessThanTwoCopyTimes(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t)
		took := longest(c.fetch(c.addAgents(0, 99, linkRate, false)...))
		qt.Check(t, took < 2*copyTime, qt.IsTrue, qt.Commentf("took %s; one copy takes %s", took, copyTime))
		qt.Check(t, c.originChunks.Load() <= chunks*5/4, qt.IsTrue, qt.Commentf("%d chunks fetched from the origin", c.originChunks.Load()))
	})
}

func TestNewAgentsAreNotDelayedBySlowPeers(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.addAgents(0, 3, slowLinkRate, true)
		c.addAgents(3, 13, linkRate, true)
		took := longest(c.fetch(c.addAgents(16, 11, linkRate, false)...))
		qt.Check(t, took < maxFetchTime, qt.IsTrue, qt.Commentf("took %s; one copy takes %s", took, copyTime))
		qt.Check(t, c.originChunks.Load(), qt.Equals, int64(0))
	})
}

func TestSlowAgentsDoNotDelayFastAgents(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t)
		slow := c.addAgents(0, 3, slowLinkRate, false)
		fast := c.addAgents(3, 24, linkRate, false)
		all := c.fetch(append(slow, fast...)...)
		for _, a := range slow {
			delete(all, a.member.Name)
		}
		took := longest(all)
		qt.Check(t, took < 2*copyTime, qt.IsTrue, qt.Commentf("took %s; one copy takes %s", took, copyTime))
	})
}

// scheduleOriginOutage stops the origin for six seconds before it has sent all chunks, and returns the times at which it goes
// down and is restored.
func (c *cluster) scheduleOriginOutage() (down, restored time.Duration) {
	down, restored = copyTime*8/10, copyTime*8/10+6*time.Second
	time.AfterFunc(down, func() { c.originDown.Store(true) })
	time.AfterFunc(restored, func() { c.originDown.Store(false) })
	return down, restored
}

func TestFetchResumesPromptlyAfterOriginOutageWithoutDuplicates(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t)
		_, restored := c.scheduleOriginOutage()
		took := longest(c.fetch(c.addAgents(0, 27, linkRate, false)...))
		qt.Check(t, took < restored+copyTime, qt.IsTrue, qt.Commentf("took %s; the origin was restored after %s", took, restored))
		qt.Check(t, c.originChunks.Load() <= maxChunkTransfers, qt.IsTrue, qt.Commentf("%d chunks fetched from the origin", c.originChunks.Load()))
	})
}

func TestFetchToleratesDisconnectedAndCorruptingAgents(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t)
		bad := c.addAgents(0, 6, linkRate, false)
		good := c.addAgents(6, 21, linkRate, false)
		time.AfterFunc(copyTime/3, func() {
			for _, a := range bad[:3] {
				a.disconnected.Store(true)
			}
		})
		for _, a := range bad[3:] {
			a.corrupting.Store(true)
		}
		for _, a := range bad {
			go func() { _ = a.swarm.Fetch(t.Context(), c.manifest) }() // The test does not check whether these finish.
		}
		took := longest(c.fetch(good...))
		qt.Check(t, took < 3*copyTime, qt.IsTrue, qt.Commentf("took %s; one copy takes %s", took, copyTime))
	})
}

// While the origin is down, its chunks are requested repeatedly. The failed requests must not use up the download rate.
func TestFailedOriginRequestsDoNotCountAgainstDownloadRate(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.originDown.Store(true)
		a := c.addAgent(0, linkRate, false)
		a.swarm.DownloadLimiter = rate.NewLimiter(uploadShare*linkRate, chunkBytes)
		const aloneTime = 5 * time.Second
		time.AfterFunc(aloneTime, func() { c.addAgents(3, 6, linkRate, true) })
		took := longest(c.fetch(a)) - aloneTime
		qt.Check(t, took < maxFetchTime, qt.IsTrue, qt.Commentf("took %s; one copy takes %s", took, copyTime))
	})
}
