package railagent

import (
	"context"
	"encoding/hex"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"storj.io/drpc/drpcmux"

	"github.com/fulmarrail/fulmarrail/internal/admission/railgate"
	"github.com/fulmarrail/fulmarrail/internal/config/railkeeper"
	"github.com/fulmarrail/fulmarrail/internal/config/railpublisher"
	"github.com/fulmarrail/fulmarrail/internal/core/raillog"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/limit/raillimiter"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/membership/railroster"
	"github.com/fulmarrail/fulmarrail/internal/request/railcall"
	"github.com/fulmarrail/fulmarrail/internal/request/railclaim"
	"github.com/fulmarrail/fulmarrail/internal/request/railexecutor"
	"github.com/fulmarrail/fulmarrail/internal/request/railjournal"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfetcher"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railpacer"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railreconciler"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railsharing"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railslots"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railuploads"
	"github.com/fulmarrail/fulmarrail/internal/store/railstore"
	"github.com/fulmarrail/fulmarrail/internal/store/railweights"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/raillistener"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	journalCalls = 20_000
	journalBytes = 24 << 20
	windowBytes  = 24 << 20
	// rosterInterval is long: an agent needs the list only to fetch weights, and refreshes it before that.
	rosterInterval = 10 * time.Minute
	// followAfter is the age of the revision's confirmation above which the agent asks the platform itself.
	followAfter      = 2 * time.Second
	followInterval   = time.Second
	detachInterval   = 500 * time.Millisecond
	slotLease        = 15 * time.Second
	defaultTake      = 3 * time.Second
	fetchWindow      = 128
	importWindow     = 2
	uploadSlots      = 8
	incarnationBytes = 8
	// farewell is the time for which a drained agent still answers, so that every entry learns that it leaves.
	farewell = 1500 * time.Millisecond
)

// Agent is one agent process; its fields are set before Run.
type Agent struct {
	// Self is the agent as the platform lists it.
	Self      railmember.Member
	SharedKey []byte
	// Inner is the listener for the system's other processes; nobody else can listen there while the agent lives.
	InternalListener net.Listener
	Platform         railstore.Store
	Endpoint         railendpoint.Endpoint
	Dialer           *raildialer.Dialer
	Log              *slog.Logger

	once       sync.Once
	stopping   atomic.Bool
	timer      *railtimer.Service
	keeper     *railkeeper.Keeper
	gate       *railgate.Controller
	journal    *railjournal.Registry
	executor   *railexecutor.Executor
	follower   *railpublisher.Publisher
	roster     *railroster.Roster
	store      *railchunks.Store
	pacer      *railpacer.Pacer
	uploads    *railuploads.Scheduler
	sharing    *railsharing.Server
	fetcher    *railfetcher.Fetcher
	reconciler *railreconciler.Reconciler
}

// Run serves until ctx is done, then drains and returns; drain bounds the drain and nil means that it was whole.
func (a *Agent) Run(ctx context.Context, drain time.Duration) error {
	a.init()
	defer a.executor.Claimer.Close()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	mux := drpcmux.New()
	service := &service{agent: a}
	if err := errors.Join(railproto.DRPCRegisterNode(mux, service), railproto.DRPCRegisterAgent(mux, service)); err != nil {
		return errors.Wrap(err, "register the inner services")
	}
	listener := &raillistener.Listener{Key: a.SharedKey, Handler: mux, Log: a.Log}
	failed := make(chan error, 1)
	wg.Go(func() { failed <- listener.Run(work, a.InternalListener) })
	wg.Go(func() { a.timer.Run(work) })
	wg.Go(func() { a.roster.Run(work) })
	wg.Go(func() { a.reconciler.Run(work) })
	wg.Go(func() { a.keep(work) })
	a.Log.Info("agent started", "name", a.Self.Name, "incarnation", a.gate.Incarnation, "zone", a.Self.Zone)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return a.drain(work, drain)
}

// newIncarnation returns a short random name: it rides on every message.
func newIncarnation() string {
	id := uuid.New()
	return hex.EncodeToString(id[:incarnationBytes])
}

// Revision returns the number of the revision in force at the agent, or 0.
func (a *Agent) Revision() uint64 {
	a.init()
	return a.keeper.Number()
}

func (a *Agent) init() {
	a.once.Do(func() {
		a.timer = &railtimer.Service{Jitter: true}
		a.keeper = &railkeeper.Keeper{}
		limiter := &raillimiter.Limiter{ColdLimit: 1, MaxLimit: 1, FirstTokenTarget: time.Second}
		a.gate = &railgate.Controller{
			Incarnation: newIncarnation(), Service: a.Self.Service, Zone: a.Self.Zone, Config: a.keeper, Limiter: limiter,
		}
		a.journal = &railjournal.Registry{MaxCalls: journalCalls, MaxBytes: journalBytes}
		claimer := &railclaim.Claimer{
			Table: a.Platform, Holder: a.Self.Name, Address: a.Self.Address, Incarnation: a.gate.Incarnation,
			Log: raillog.Part(a.Log, "claim"),
		}
		a.executor = &railexecutor.Executor{
			Admission: a.gate, Calls: a.journal, Endpoint: a.Endpoint, Claimer: claimer, AttachRemote: a.askHolder,
			Log: raillog.Part(a.Log, "executor"),
		}
		a.follower = &railpublisher.Publisher{Table: a.Platform, Objects: a.Platform, Keeper: a.keeper, Log: raillog.Part(a.Log, "config")}
		a.roster = &railroster.Roster{
			Region: a.Self.Region, List: a.Platform.Members, Timer: a.timer, Interval: rosterInterval, Log: raillog.Part(a.Log, "roster"),
		}
		a.initRollout()
	})
}

func (a *Agent) initRollout() {
	origin := railweights.Origin{Objects: a.Platform}
	a.pacer = &railpacer.Pacer{}
	a.uploads = &railuploads.Scheduler{Slots: uploadSlots}
	a.store = &railchunks.Store{Backend: a.Endpoint, CacheBytes: windowBytes}
	a.sharing = &railsharing.Server{Store: a.store, Uploads: a.uploads, Pacer: a.pacer}
	a.fetcher = &railfetcher.Fetcher{
		Self: a.Self, Store: a.store, Members: a.holders, RequestChunk: a.askChunk, FetchFromOrigin: origin.Chunk,
		OriginRegion: a.originRegion, TakeoverDelay: defaultTake, MaxDownloads: fetchWindow, MaxImports: importWindow,
		Log: raillog.Part(a.Log, "fetcher"),
	}
	a.reconciler = &railreconciler.Reconciler{
		Service: a.Self.Service, Zone: a.Self.Zone, Name: a.Self.Name,
		Keeper: a.keeper, Gate: a.gate, Endpoint: a.Endpoint, Store: a.store, Fetcher: a.fetcher, Timer: a.timer,
		Slots:    &railslots.Slots{Table: a.Platform, Holder: a.Self.Name + "/" + a.gate.Incarnation, Lease: slotLease},
		Manifest: origin.Manifest, RefreshPeers: a.roster.Refresh, NoPeers: a.alone,
		InFlight: func() int { return int(a.gate.Limiter.Load().GetRunning()) },
		Log:      raillog.Part(a.Log, "rollout"),
	}
}

// keep follows the platform when no entry has confirmed the revision lately, applies limits and ends detached calls.
func (a *Agent) keep(ctx context.Context) {
	follow, stopFollow := a.timer.Subscribe(followInterval)
	defer stopFollow()
	detach, stopDetach := a.timer.Subscribe(detachInterval)
	defer stopDetach()
	for {
		changed := a.keeper.Changed()
		a.gate.Configure()
		a.setPace()
		select {
		case <-follow:
			a.follow(ctx)
		case now := <-detach:
			a.executor.CancelDetached(now)
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) follow(ctx context.Context) {
	if a.keeper.Age() < followAfter {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, followAfter)
	defer cancel()
	if _, err := a.follower.Follow(ctx); err != nil {
		a.Log.Debug("platform not reached, the revision stays", "err", err)
	}
}

func (a *Agent) setPace() {
	revision, _ := a.keeper.Current()
	service, ok := revision.Spec().Service(a.Self.Service)
	if !ok {
		return
	}
	load := a.gate.Limiter.Load()
	a.pacer.SetRate(service.WeightsRate, float64(load.GetRunning())/float64(max(load.GetLimit(), 1)))
	if origin, ok := revision.Spec().Origin(); ok {
		a.fetcher.SetTakeoverDelay(origin.Takeover)
	}
}

// drain refuses new work, lets running work end and writes what must last.
func (a *Agent) drain(ctx context.Context, limit time.Duration) error {
	a.gate.StartDraining()
	a.stopping.Store(true)
	a.Log.Info("agent leaves, running calls end", "running", a.journal.Running())
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := a.executor.Drain(bounded)
	railtimer.Sleep(bounded, farewell)
	if err != nil {
		return errors.Wrap(err, "the drain was cut off")
	}
	a.Log.Info("agent has left, nothing was cut off")
	return nil
}

// alone reports whether no other agent is known to want the same weights.
func (a *Agent) alone() bool {
	revision, _ := a.keeper.Current()
	return len(a.holders(revision.Manifests[a.Self.Service])) <= 1
}

// holders returns the agents whose service is pinned to a manifest.
func (a *Agent) holders(manifest string) []railmember.Member {
	revision, _ := a.keeper.Current()
	return a.roster.Members(func(m railmember.Member) bool {
		return m.Role == railmember.RoleAgent && !m.Leaving && revision.Manifests[m.Service] == manifest
	})
}

func (a *Agent) originRegion() string {
	revision, _ := a.keeper.Current()
	origin, _ := revision.Spec().Origin()
	return origin.Region
}

func (a *Agent) askChunk(ctx context.Context, m railmember.Member, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
	if m.Name == a.Self.Name {
		return nil, errors.New("an agent does not ask itself")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.GetWaitMillis())*time.Millisecond+chunkTimeout)
	defer cancel()
	reply, err := a.Dialer.Agent(ctx, m.Address).Chunk(ctx, req)
	if err != nil {
		return nil, err
	}
	return reply, a.pacer.Wait(ctx, len(reply.GetData()))
}

func (a *Agent) askHolder(ctx context.Context, address string, req *railproto.AttachRequest, send func(*railproto.Frame) error) error {
	stream, err := a.Dialer.Agent(ctx, address).Attach(ctx, req)
	if err != nil {
		return errors.Wrap(err, "ask the holder")
	}
	defer func() { _ = stream.Close() }()
	for {
		frame, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "hear the holder")
		}
		if err := send(frame); err != nil {
			return err
		}
		if railcall.IsFinal(frame.GetKind()) {
			return nil
		}
	}
}
