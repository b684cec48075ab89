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
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railpacer"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railsharing"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railswarm"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railuploads"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railvault"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	chunks     = 96
	chunkBytes = 24_576
	// linkRate is the rate of an agent's and the origin's link in bytes a second, and squeezed that of a narrowed one.
	linkRate    = 912_500
	squeezed    = 113_750
	uploadSlots = 1
	// paceShare is the share of a link that uploads take.
	paceShare = 0.92
	latency   = time.Millisecond
)

// copyTime is the time that one link takes for all chunks.
var copyTime = chunks * chunkBytes * time.Second / linkRate

var errLost = errors.New("the agent is cut off")

// agent is one agent with its link, each way.
type agent struct {
	member   railmember.Member
	up, down railpacedlink.Link
	store    *railchunks.Store
	sharing  *railsharing.Server
	swarm    *railswarm.Swarm
	cut      atomic.Bool
	lying    atomic.Bool
	imported atomic.Int64
}

// swarm is a number of agents in three regions, and an origin.
type swarm struct {
	t        *testing.T
	manifest railmanifest.Manifest
	data     map[string][]byte
	origin   railpacedlink.Link
	drawn    atomic.Int64
	stopped  atomic.Bool

	mu     sync.Mutex
	agents map[string]*agent
	listed []railmember.Member
}

func newSwarm(t *testing.T) *swarm {
	weights := make([]byte, chunks*chunkBytes)
	for i := range weights {
		weights[i] = byte(i >> 3 * i / chunkBytes)
	}
	for i := range chunks {
		copy(weights[i*chunkBytes:], fmt.Sprintf("chunk %d", i))
	}
	w := &swarm{t: t, manifest: railmanifest.New("2", weights, chunkBytes), data: map[string][]byte{}, agents: map[string]*agent{}}
	for i, digest := range w.manifest.Chunks {
		w.data[digest] = weights[i*chunkBytes : (i+1)*chunkBytes]
	}
	w.origin.BytesPerSecond = linkRate
	return w
}

// add adds an agent; a complete one holds every chunk.
func (w *swarm) add(i int, rate float64, complete bool) *agent {
	region := fmt.Sprintf("region-%d", i%3)
	return w.join(railmember.Member{Name: fmt.Sprintf("agent-%02d", i), Role: railmember.RoleAgent, Zone: region, Region: region}, rate, complete)
}

// join adds one agent, which begins to fetch only if it holds all chunks.
func (w *swarm) join(m railmember.Member, rate float64, complete bool) *agent {
	a := &agent{
		member: m,
		store:  &railchunks.Store{Backend: &railvault.MemoryStore{}},
	}
	a.up.BytesPerSecond, a.down.BytesPerSecond = rate, rate
	a.sharing = &railsharing.Server{Store: a.store, Uploads: &railuploads.Scheduler{Slots: uploadSlots}, Pacer: &railpacer.Pacer{Burst: 32 << 10}}
	a.sharing.Pacer.SetRate(paceShare*linkRate, 0)
	a.swarm = &railswarm.Swarm{
		Self: a.member, Store: a.store, Members: w.members, OriginRegion: func() string { return "region-0" }, Seed: 9,
		RequestChunk: func(ctx context.Context, m railmember.Member, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
			return w.ask(ctx, a, m, req)
		},
		SendInventory: func(m railmember.Member, inventory *railproto.Inventory) { w.tell(a, m, inventory) },
		FetchFromOrigin: func(ctx context.Context, digest string) ([]byte, error) {
			return w.draw(ctx, a, digest)
		},
		Log: slog.New(slog.DiscardHandler),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.agents[a.member.Name] = a
	w.listed = append(w.listed, a.member)
	if complete {
		for digest, data := range w.data {
			qt.Assert(w.t, a.store.Put(w.t.Context(), digest, data), qt.IsNil)
		}
		go func() { qt.Check(w.t, a.swarm.Fetch(w.t.Context(), w.manifest), qt.IsNil) }()
	}
	return a
}

// addMany adds a number of agents alike.
func (w *swarm) addMany(first, n int, rate float64, complete bool) []*agent {
	var list []*agent
	for i := range n {
		list = append(list, w.add(first+i, rate, complete))
	}
	return list
}

// importedBy returns the number of chunks that came into a region from others.
func (w *swarm) importedBy(region string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := int64(0)
	for _, a := range w.agents {
		if a.member.Region == region {
			sum += a.imported.Load()
		}
	}
	return sum
}

func (w *swarm) agent(name string) *agent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agents[name]
}

func (w *swarm) members() []railmember.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.listed)
}

func (w *swarm) ask(ctx context.Context, to *agent, m railmember.Member, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
	source := w.agent(m.Name)
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if source.cut.Load() || to.cut.Load() {
		<-ctx.Done()
		return nil, errLost
	}
	time.Sleep(latency)
	reply, err := source.sharing.Chunk(ctx, req)
	if err != nil || len(reply.GetData()) == 0 {
		return reply, err
	}
	if err := railpacedlink.Carry(ctx, chunkBytes, &source.up, &to.down); err != nil {
		return nil, err
	}
	if source.cut.Load() {
		return nil, errLost
	}
	if source.member.Region != to.member.Region {
		to.imported.Add(1)
	}
	if source.lying.Load() {
		return &railproto.ChunkReply{Data: []byte("something else"), Held: true}, nil
	}
	return reply, nil
}

func (w *swarm) tell(from *agent, m railmember.Member, inventory *railproto.Inventory) {
	to := w.agent(m.Name)
	if from.cut.Load() || to.cut.Load() {
		return
	}
	time.AfterFunc(latency, func() { to.swarm.HandleInventory(from.member, inventory) })
}

func (w *swarm) draw(ctx context.Context, to *agent, digest string) ([]byte, error) {
	if w.stopped.Load() || to.cut.Load() {
		return nil, errLost
	}
	if err := railpacedlink.Carry(ctx, chunkBytes, &w.origin, &to.down); err != nil {
		return nil, err
	}
	if w.stopped.Load() {
		return nil, errLost
	}
	w.drawn.Add(1)
	return w.data[digest], nil
}

// fetch lets agents fetch at once and returns the time that each of them took.
func (w *swarm) fetch(agents ...*agent) map[string]time.Duration {
	var mu sync.Mutex
	took := map[string]time.Duration{}
	began := time.Now()
	var wg sync.WaitGroup
	for _, a := range agents {
		wg.Go(func() {
			err := a.swarm.Fetch(w.t.Context(), w.manifest)
			qt.Check(w.t, err, qt.IsNil)
			mu.Lock()
			defer mu.Unlock()
			took[a.member.Name] = time.Since(began)
		})
	}
	wg.Wait()
	return took
}

// longest returns the longest of some times.
func longest(took map[string]time.Duration) time.Duration {
	var most time.Duration
	for _, t := range took {
		most = max(most, t)
	}
	return most
}

const (
	// most is the longest time that all chunks may take where the links allow one copy time.
	most = chunks * chunkBytes * time.Second / linkRate * 3 / 2
	// mostCopies is the number of chunks that the origin may send for one copy, and other regions for each region.
	mostCopies = chunks * 115 / 100
)

func TestANewVersionComesToAllInLittleMoreThanTheOriginsTime(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newSwarm(t)
		took := longest(w.fetch(w.addMany(0, 27, linkRate, false)...))
		qt.Check(t, took < most, qt.IsTrue, qt.Commentf("%s, one copy takes %s", took, copyTime))
		qt.Check(t, w.drawn.Load() <= mostCopies, qt.IsTrue, qt.Commentf("%d chunks drawn", w.drawn.Load()))
		qt.Check(t, w.importedBy("region-1") <= mostCopies, qt.IsTrue, qt.Commentf("%d chunks imported", w.importedBy("region-1")))
	})
}

// Where all agents of a large region asked all others, each source's first chunks were asked for by all at once, and 99 agents took
// three times as long.
func TestManyAgentsTakeLittleLonger(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newSwarm(t)
		took := longest(w.fetch(w.addMany(0, 99, linkRate, false)...))
		qt.Check(t, took < 2*copyTime, qt.IsTrue, qt.Commentf("%s, one copy takes %s", took, copyTime))
		qt.Check(t, w.drawn.Load() <= chunks*5/4, qt.IsTrue, qt.Commentf("%d chunks drawn", w.drawn.Load()))
	})
}

func TestAddedAgentsAreHeldUpByNoSlowLink(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newSwarm(t)
		w.addMany(0, 3, squeezed, true)
		w.addMany(3, 13, linkRate, true)
		took := longest(w.fetch(w.addMany(16, 11, linkRate, false)...))
		qt.Check(t, took < most, qt.IsTrue, qt.Commentf("%s, one copy takes %s", took, copyTime))
		qt.Check(t, w.drawn.Load(), qt.Equals, int64(0))
	})
}

func TestAgentsOnSlowLinksHoldUpNobodyElse(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newSwarm(t)
		slow := w.addMany(0, 3, squeezed, false)
		fast := w.addMany(3, 24, linkRate, false)
		all := w.fetch(append(slow, fast...)...)
		for _, a := range slow {
			delete(all, a.member.Name)
		}
		took := longest(all)
		qt.Check(t, took < 2*copyTime, qt.IsTrue, qt.Commentf("%s, one copy takes %s", took, copyTime))
	})
}

// leaveOrigin lets the origin go away for six seconds before it has given all, and returns when it goes and when it is back.
func (w *swarm) leaveOrigin() (away, back time.Duration) {
	away, back = copyTime*8/10, copyTime*8/10+6*time.Second
	time.AfterFunc(away, func() { w.stopped.Store(true) })
	time.AfterFunc(back, func() { w.stopped.Store(false) })
	return away, back
}

func TestTheOriginsReturnIsUsedAtOnceAndEachChunkIsDrawnOnce(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newSwarm(t)
		_, back := w.leaveOrigin()
		took := longest(w.fetch(w.addMany(0, 27, linkRate, false)...))
		qt.Check(t, took < back+copyTime, qt.IsTrue, qt.Commentf("%s, the origin was back after %s", took, back))
		qt.Check(t, w.drawn.Load() <= mostCopies, qt.IsTrue, qt.Commentf("%d chunks drawn", w.drawn.Load()))
	})
}

func TestAgentsThatDieOrLieArePassedOver(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newSwarm(t)
		bad := w.addMany(0, 6, linkRate, false)
		good := w.addMany(6, 21, linkRate, false)
		time.AfterFunc(copyTime/3, func() {
			for _, a := range bad[:3] {
				a.cut.Store(true)
			}
		})
		for _, a := range bad[3:] {
			a.lying.Store(true)
		}
		for _, a := range bad {
			go func() { _ = a.swarm.Fetch(t.Context(), w.manifest) }() // Whether these get the weights is not the question.
		}
		took := longest(w.fetch(good...))
		qt.Check(t, took < 3*copyTime, qt.IsTrue, qt.Commentf("%s, one copy takes %s", took, copyTime))
	})
}

// While the origin is down its chunks are asked for again and again; what never came must not hold the other chunks up.
func TestDrawsThatFailTakeNothingOfTheLink(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newSwarm(t)
		w.stopped.Store(true)
		a := w.add(0, linkRate, false)
		a.swarm.DownloadLimiter = rate.NewLimiter(paceShare*linkRate, chunkBytes)
		const alone = 5 * time.Second
		time.AfterFunc(alone, func() { w.addMany(3, 6, linkRate, true) })
		took := longest(w.fetch(a)) - alone
		qt.Check(t, took < most, qt.IsTrue, qt.Commentf("%s, one copy takes %s", took, copyTime))
	})
}
