package railrollouttrial

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/lab/railpacedlink"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfetcher"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railuploads"
	"github.com/fulmarrail/fulmarrail/internal/standin/railengine"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// originLinkCopies and machineLinkCopies are the numbers of copies of the weights that the origin's and a machine's link can
	// carry in Trial.LinkTime.
	originLinkCopies  = 4
	machineLinkCopies = 2

	weightsBytes = 1 << 20
	chunkBytes   = 8 << 10
	cacheBytes   = 2 << 20
	maxDownloads = 128
	maxImports   = 2
	uploadSlots  = 8
	// takeoverShare is the takeover delay as a share of Trial.LinkTime.
	takeoverShare = 0.02
	originRegion  = "region-0"

	// ModeSwarm is the system's swarm distribution.
	ModeSwarm = "swarm"
	// ModeOrigin is the baseline in which every machine downloads from the origin.
	ModeOrigin = "origin"
	// ModeTree is the baseline in which each machine downloads from its parent in a fixed binary tree.
	ModeTree = "tree"
)

var (
	errMachineDead   = errors.New("machine is dead")
	errPartitioned   = errors.New("regions are partitioned")
	errOriginStopped = errors.New("origin is stopped")
)

// Trial is one rollout. Its exported fields must be set before Run.
type Trial struct {
	Replicas int
	Regions  int
	Mode     string
	Seed     uint64
	// LinkTime scales the bandwidth: the time in which the origin's link carries four copies of the weights and a machine's link two.
	LinkTime time.Duration
	// BorderCopies is the number of copies that the link between two regions carries in each direction in LinkTime.
	BorderCopies float64
	// CorruptShare is the share of transfers whose data arrives corrupted.
	CorruptShare float64
	// KilledMachines is the number of machines that die after a third of LinkTime, StalledMachines of those that stall for a third
	// of it, and LyingMachines of those that claim to hold every chunk and send wrong bytes.
	KilledMachines, StalledMachines, LyingMachines int
	// OriginOutage stops the origin, and RegionPartition cuts off one region, for a third of LinkTime.
	OriginOutage, RegionPartition bool
	// FreshMachine adds a machine without weights once all others hold them.
	FreshMachine bool

	mu           sync.Mutex
	random       *rand.Rand
	machines     map[string]*machine
	regionLinks  map[[2]string]*railpacedlink.Link
	origin       railpacedlink.Link
	chunkData    map[string][]byte
	manifest     railmanifest.Manifest
	originDown   atomic.Bool
	regionCutOff atomic.Bool
}

type machine struct {
	member  railmember.Member
	link    railpacedlink.Link
	engine  *railengine.Engine
	store   *railchunks.Store
	fetcher *railfetcher.Fetcher
	uploads *railuploads.Scheduler
	dead    atomic.Bool
	stalled atomic.Bool
	lying   atomic.Bool
	killed  context.Context
	kill    context.CancelFunc
}

// Run runs the rollout and returns its measurements. It returns an error if a fetch fails or ctx is done first.
func (t *Trial) Run(ctx context.Context) (Result, error) {
	t.prepare()
	start := time.Now()
	var wg sync.WaitGroup
	errs := make([]error, t.Replicas)
	for i := range t.Replicas {
		m := t.machines[machineName(i)]
		wg.Go(func() { errs[i] = t.fetch(ctx, m, i) })
	}
	faultCtx, stopFaults := context.WithCancel(ctx)
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		t.injectFaults(faultCtx)
	}()
	wg.Wait()
	elapsed := time.Since(start)
	stopFaults()
	<-faultsDone
	if t.FreshMachine {
		errs = append(errs, t.fetchOnFreshMachine(ctx))
	}
	if ctx.Err() != nil {
		return Result{}, errors.Wrap(ctx.Err(), "rollout did not finish in time")
	}
	if err := errors.Join(errs...); err != nil {
		return Result{}, err
	}
	return t.result(ctx, elapsed), nil
}

// WithSeed returns a new trial with the same faults and the given number of replicas and seed. The other fields are zero.
func (t *Trial) WithSeed(replicas int, seed uint64) *Trial {
	return &Trial{
		Replicas: replicas, Seed: seed, CorruptShare: t.CorruptShare, KilledMachines: t.KilledMachines, StalledMachines: t.StalledMachines, LyingMachines: t.LyingMachines,
		OriginOutage: t.OriginOutage, RegionPartition: t.RegionPartition, FreshMachine: t.FreshMachine,
	}
}

func (t *Trial) prepare() {
	t.random = rand.New(rand.NewPCG(t.Seed, t.Seed))
	weights := make([]byte, weightsBytes)
	for i := range weights {
		weights[i] = byte(t.random.Uint32())
	}
	t.manifest = railmanifest.New("v1", weights, chunkBytes)
	t.chunkData = map[string][]byte{}
	for i, digest := range t.manifest.Chunks {
		start := int64(i) * chunkBytes
		t.chunkData[digest] = weights[start : start+t.manifest.ChunkLength(i)]
	}
	t.origin.BytesPerSecond = t.linkRate(originLinkCopies)
	t.machines = map[string]*machine{}
	t.regionLinks = map[[2]string]*railpacedlink.Link{}
	for i := range t.Replicas {
		t.addMachine(i)
	}
}

func (t *Trial) addMachine(i int) {
	engine := &railengine.Engine{Incarnation: machineName(i)}
	m := &machine{
		member: railmember.Member{Name: machineName(i), Role: railmember.RoleAgent, Region: fmt.Sprintf("region-%d", i%t.Regions)},
		engine: engine,
		store:  &railchunks.Store{Backend: engine, CacheBytes: cacheBytes}, uploads: &railuploads.Scheduler{Slots: uploadSlots},
	}
	m.link.BytesPerSecond = t.linkRate(machineLinkCopies)
	m.killed, m.kill = context.WithCancel(context.Background())
	m.fetcher = &railfetcher.Fetcher{
		Self: m.member, Store: m.store, Members: t.members, FetchFromOrigin: func(ctx context.Context, digest string) ([]byte, error) {
			return t.fetchFromOrigin(ctx, m, digest)
		},
		RequestChunk: func(ctx context.Context, from railmember.Member, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
			return t.requestChunk(ctx, m, from, req)
		},
		OriginRegion: func() string { return originRegion }, TakeoverDelay: t.takeoverDelay(), MaxDownloads: maxDownloads, MaxImports: maxImports,
		Log: slog.New(slog.DiscardHandler),
	}
	t.machines[m.member.Name] = m
}

func (t *Trial) fetch(ctx context.Context, m *machine, i int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(m.killed, cancel)
	defer stop()
	var err error
	switch t.Mode {
	case ModeOrigin:
		err = t.fetchFrom(ctx, m, nil)
	case ModeTree:
		var parent *machine
		if i > 0 {
			parent = t.machines[machineName((i-1)/2)]
		}
		err = t.fetchFrom(ctx, m, parent)
	default:
		err = m.fetcher.Fetch(ctx, t.manifest)
	}
	if m.dead.Load() {
		return nil
	}
	return err
}

// fetchFrom implements the baselines: it fetches all chunks in order from source, or from the origin if source is nil.
func (t *Trial) fetchFrom(ctx context.Context, m, source *machine) error {
	for _, digest := range t.manifest.Chunks {
		var data []byte
		var err error
		if source == nil {
			data, err = t.fetchFromOrigin(ctx, m, digest)
		} else {
			var reply *railproto.ChunkReply
			for data == nil && err == nil {
				reply, err = t.requestChunk(ctx, m, source.member, &railproto.ChunkRequest{Digest: digest, WaitMillis: time.Second.Milliseconds()})
				data = reply.GetData()
			}
		}
		if err != nil {
			return err
		}
		if err := m.store.Put(ctx, digest, data); err != nil {
			return err
		}
	}
	return nil
}

// members returns the membership list. It still includes dead machines, as a lagging list does.
func (t *Trial) members(string) []railmember.Member {
	members := make([]railmember.Member, 0, t.Replicas)
	for i := range t.Replicas {
		members = append(members, t.machines[machineName(i)].member)
	}
	return members
}

// linkRate returns the bandwidth, in bytes per second, at which a link carries the given number of copies in LinkTime.
func (t *Trial) linkRate(copies float64) float64 {
	return copies * weightsBytes / t.LinkTime.Seconds()
}

func (t *Trial) takeoverDelay() time.Duration {
	return time.Duration(takeoverShare * float64(t.LinkTime))
}

func machineName(i int) string { return fmt.Sprintf("machine-%d", i) }
