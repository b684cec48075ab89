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

	"github.com/fulmarrail/fulmarrail/internal/admission/railadmission"
	"github.com/fulmarrail/fulmarrail/internal/config/railpublisher"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevisioncache"
	"github.com/fulmarrail/fulmarrail/internal/core/raillog"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/limit/raillimiter"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/membership/railroster"
	"github.com/fulmarrail/fulmarrail/internal/request/railcall"
	"github.com/fulmarrail/fulmarrail/internal/request/railclaim"
	"github.com/fulmarrail/fulmarrail/internal/request/railexecutor"
	"github.com/fulmarrail/fulmarrail/internal/request/railheader"
	"github.com/fulmarrail/fulmarrail/internal/request/railregistry"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunkserver"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raildigestset"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfetcher"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railratelimit"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railreconciler"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railslots"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railuploads"
	"github.com/fulmarrail/fulmarrail/internal/store/railera"
	"github.com/fulmarrail/fulmarrail/internal/store/railstore"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
	"github.com/fulmarrail/fulmarrail/internal/store/railweights"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/raillistener"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	maxRecordedCalls = 20_000
	maxRecordedBytes = 24 << 20
	chunkCacheBytes  = 24 << 20
	// rosterRefreshInterval is long, since an agent needs the list of members only to fetch weights and refreshes it before that.
	rosterRefreshInterval = 10 * time.Minute
	// maxConfirmationAge is the time without a confirmation of the revision after which the agent reads the current one from the
	// platform's store. It is also the timeout of that read.
	maxConfirmationAge    = 2 * time.Second
	configPollInterval    = time.Second
	detachedCheckInterval = 500 * time.Millisecond
	slotLeaseDuration     = 15 * time.Second
	defaultTakeoverDelay  = 3 * time.Second
	maxDownloads          = 128
	maxImports            = 2
	maxUploads            = 8
	incarnationBytes      = 8
	// drainLinger is the time for which a drained agent keeps serving heartbeats, so that every entry learns that it is stopping.
	drainLinger = 1500 * time.Millisecond
	// finalFrameTime is the time before the end of the drain at which calls get their final frame, so that it can still be sent.
	finalFrameTime = 200 * time.Millisecond
)

// Agent is one agent process. Its exported fields must be set before Run is called.
type Agent struct {
	// Self is the agent as it appears in the platform's VM list.
	Self railmember.Member
	// SharedKey authenticates the deployment's processes to each other.
	SharedKey []byte
	// InternalListener accepts calls from the deployment's other processes. No other process can listen on its address while the agent
	// runs.
	InternalListener net.Listener
	// Platform is the platform's table service, object store and VM list.
	Platform railstore.Store
	Endpoint railendpoint.Endpoint
	Dialer   *raildialer.Dialer
	Log      *slog.Logger

	once            sync.Once
	stopping        atomic.Bool
	timer           *railtimer.Service
	era             *railera.Tracker
	revisions       *railrevisioncache.Cache
	admission       *railadmission.Controller
	intact          *raildigestset.Set
	calls           *railregistry.Registry
	executor        *railexecutor.Executor
	configFollower  *railpublisher.Publisher
	roster          *railroster.Roster
	store           *railchunks.Store
	transferPacer   *railratelimit.Pacer
	uploadScheduler *railuploads.Scheduler
	chunkServer     *railchunkserver.Server
	fetcher         *railfetcher.Fetcher
	reconciler      *railreconciler.Reconciler
}

// Run serves until ctx is done, then drains within drainTimeout. It returns an error if serving fails or the drain does not complete.
func (a *Agent) Run(ctx context.Context, drainTimeout time.Duration) error {
	a.init()
	defer a.executor.Claimer.Close()
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	mux := drpcmux.New()
	service := &agentServer{agent: a}
	if err := errors.Join(railproto.DRPCRegisterNode(mux, service), railproto.DRPCRegisterAgent(mux, service)); err != nil {
		return errors.Wrap(err, "register the internal services")
	}
	listener := &raillistener.Listener{Key: a.SharedKey, Handler: mux, Log: a.Log}
	failed := make(chan error, 1)
	wg.Go(func() { failed <- listener.Run(workCtx, a.InternalListener) })
	wg.Go(func() { a.timer.Run(workCtx) })
	wg.Go(func() { a.roster.Run(workCtx) })
	wg.Go(func() { a.reconciler.Run(workCtx) })
	wg.Go(func() { a.executor.Claimer.Run(workCtx) })
	wg.Go(func() { a.maintain(workCtx) })
	a.Log.Info("agent started", "name", a.Self.Name, "incarnation", a.admission.Incarnation, "zone", a.Self.Zone)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return a.drain(workCtx, drainTimeout)
}

// newIncarnation returns a random identifier of this process's lifetime. It is short, since every message carries it.
func newIncarnation() string {
	id := uuid.New()
	return hex.EncodeToString(id[:incarnationBytes])
}

// Revision returns the number of the agent's current revision, or 0 if it has none.
func (a *Agent) Revision() uint64 {
	a.init()
	return a.revisions.Number()
}

// RecordReport records what the endpoint has said of itself in a response. See railadmission.Controller.RecordReport.
func (a *Agent) RecordReport(incarnation string, said railheader.SelfReport) {
	a.init()
	a.admission.RecordReport(incarnation, said)
}

// Intact reports whether weights with a digest are known to be intact.
func (a *Agent) Intact(digest string) bool {
	a.init()
	return a.intact.Has(digest)
}

// RecordLimit records what a response of the endpoint says of the number of requests that it takes.
func (a *Agent) RecordLimit(said railendpoint.LimitReport) {
	a.init()
	a.admission.RecordLimit(said)
}

// RecordResume records a request to the endpoint that resumes a stream.
func (a *Agent) RecordResume() {
	a.init()
	a.admission.RecordResume()
}

func (a *Agent) init() {
	a.once.Do(func() {
		a.timer = &railtimer.Service{Jitter: true}
		a.era = &railera.Tracker{}
		table := a.era.Watch(a.Platform)
		a.revisions = &railrevisioncache.Cache{}
		limiter := &raillimiter.Limiter{ColdLimit: 1, MaxLimit: 1, FirstTokenTarget: time.Second}
		a.admission = &railadmission.Controller{
			Incarnation: newIncarnation(), Service: a.Self.Service, Zone: a.Self.Zone, Config: a.revisions, Limiter: limiter,
			Log: raillog.Named(a.Log, "admission"),
		}
		a.intact = &raildigestset.Set{}
		a.calls = &railregistry.Registry{MaxCalls: maxRecordedCalls, MaxBytes: maxRecordedBytes}
		claimer := &railclaim.Claimer{
			Table: table, Era: a.era, Holder: a.Self.Name, Address: a.Self.Address, Incarnation: a.admission.Incarnation,
			Log: raillog.Named(a.Log, "claim"),
		}
		a.executor = &railexecutor.Executor{
			Admission: a.admission, Calls: a.calls, Endpoint: a.Endpoint, Claimer: claimer, Intact: a.intact, AttachRemote: a.attachRemote,
			Log: raillog.Named(a.Log, "executor"),
		}
		a.configFollower = &railpublisher.Publisher{Table: table, Era: a.era, Objects: a.Platform, Revisions: a.revisions, ReadOnly: true, Log: raillog.Named(a.Log, "config")}
		a.roster = &railroster.Roster{
			Region: a.Self.Region, List: a.Platform.Members, Incomplete: a.listIncomplete, Timer: a.timer, Interval: rosterRefreshInterval, Log: raillog.Named(a.Log, "roster"),
		}
		a.initRollout(table)
	})
}

func (a *Agent) initRollout(table railtable.Table) {
	origin := railweights.Origin{Objects: a.Platform}
	a.transferPacer = &railratelimit.Pacer{}
	a.uploadScheduler = &railuploads.Scheduler{Slots: maxUploads}
	a.store = &railchunks.Store{Backend: a.Endpoint, CacheBytes: chunkCacheBytes}
	a.chunkServer = &railchunkserver.Server{Store: a.store, Uploads: a.uploadScheduler, Pacer: a.transferPacer}
	a.fetcher = &railfetcher.Fetcher{
		Self: a.Self, Store: a.store, Members: a.chunkPeers, RequestChunk: a.requestChunk, FetchFromOrigin: origin.Chunk,
		OriginRegion: a.originRegion, TakeoverDelay: defaultTakeoverDelay, MaxDownloads: maxDownloads, MaxImports: maxImports,
		Log: raillog.Named(a.Log, "fetcher"),
	}
	a.reconciler = &railreconciler.Reconciler{
		Service: a.Self.Service, Zone: a.Self.Zone, Name: a.Self.Name,
		Revisions: a.revisions, Admission: a.admission, Intact: a.intact, Endpoint: a.Endpoint, Store: a.store, Fetcher: a.fetcher, Timer: a.timer,
		Slots:    &railslots.Slots{Table: table, Era: a.era, Holder: a.Self.Name + "/" + a.admission.Incarnation, Lease: slotLeaseDuration},
		Manifest: origin.Manifest, RefreshPeers: a.roster.Refresh, NoPeers: a.noPeers,
		InFlight: func() int { return int(a.admission.Limiter.Load().GetRunning()) },
		Log:      raillog.Named(a.Log, "rollout"),
	}
}

// maintain polls the platform's store if no entry has confirmed the revision recently, applies configured limits and rates, and
// cancels idempotent calls that have had no follower for a while.
func (a *Agent) maintain(ctx context.Context) {
	pollTicks, stopPoll := a.timer.Subscribe(configPollInterval)
	defer stopPoll()
	detachedTicks, stopDetached := a.timer.Subscribe(detachedCheckInterval)
	defer stopDetached()
	for {
		changed := a.revisions.Changed()
		a.admission.Configure()
		a.applyTransferSettings()
		select {
		case <-pollTicks:
			a.pollConfig(ctx)
		case now := <-detachedTicks:
			a.executor.CancelDetached(now)
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// listIncomplete reports whether the platform may not have written again all VMs that a restored list has lost.
func (a *Agent) listIncomplete(ctx context.Context) bool {
	return a.era.BegunWithin(ctx, a.Platform, railpublisher.CurrentRowKey, railroster.RewriteTime)
}

func (a *Agent) pollConfig(ctx context.Context) {
	if a.revisions.Age() < maxConfirmationAge {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxConfirmationAge)
	defer cancel()
	if _, err := a.configFollower.Pull(ctx); err != nil {
		a.Log.Debug("can't follow the platform's configuration, keeping the current revision", "err", err)
	}
}

func (a *Agent) applyTransferSettings() {
	revision, _ := a.revisions.Current()
	service, ok := revision.Spec().Service(a.Self.Service)
	if !ok {
		return
	}
	load := a.admission.Limiter.Load()
	a.transferPacer.SetRate(service.WeightsBytesPerSecond, float64(load.GetRunning())/float64(max(load.GetLimit(), 1)))
	if origin, ok := revision.Spec().Origin(); ok {
		a.fetcher.SetTakeoverDelay(origin.TakeoverDelay)
	}
}

// drain rejects new calls, waits for calls in flight and persists their outcomes. Calls that still run finalFrameTime before the timeout get their
// final frame.
func (a *Agent) drain(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.admission.StartDraining()
	a.stopping.Store(true)
	a.Log.Info("agent leaves, running calls end", "running", a.calls.Running())
	drainCtx, cancelDrain := context.WithTimeout(ctx, max(timeout-finalFrameTime, timeout/2))
	defer cancelDrain()
	err := a.executor.Drain(drainCtx)
	railtimer.Sleep(drainCtx, drainLinger)
	interrupted := a.executor.Interrupt(ctx)
	if err != nil {
		return errors.Wrap(err, "drain did not complete")
	}
	if interrupted > 0 {
		return errors.Newf("drain did not complete: %d calls began during it and still ran at its end", interrupted)
	}
	a.Log.Info("agent drained, no call was interrupted")
	return nil
}

// noPeers reports whether no other agent is known whose service uses the same weights.
func (a *Agent) noPeers() bool {
	revision, _ := a.revisions.Current()
	return len(a.chunkPeers(revision.Manifests[a.Self.Service])) <= 1
}

// chunkPeers returns the agents, including this one, whose service is pinned to the given manifest and that are not leaving.
func (a *Agent) chunkPeers(manifest string) []railmember.Member {
	revision, _ := a.revisions.Current()
	return a.roster.Members(func(m railmember.Member) bool {
		return m.Role == railmember.RoleAgent && !m.Leaving && revision.Manifests[m.Service] == manifest
	})
}

func (a *Agent) originRegion() string {
	revision, _ := a.revisions.Current()
	origin, _ := revision.Spec().Origin()
	return origin.Region
}

func (a *Agent) requestChunk(ctx context.Context, m railmember.Member, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
	if m.Name == a.Self.Name {
		return nil, errors.New("an agent can't request a chunk from itself")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.GetWaitMillis())*time.Millisecond+chunkRequestTimeout)
	defer cancel()
	reply, err := a.Dialer.Agent(ctx, m.Address).Chunk(ctx, req)
	if err != nil {
		return nil, err
	}
	return reply, a.transferPacer.Wait(ctx, len(reply.GetData()))
}

func (a *Agent) attachRemote(ctx context.Context, address string, req *railproto.AttachRequest, send func(*railproto.Frame) error) error {
	stream, err := a.Dialer.Agent(ctx, address).Attach(ctx, req)
	if err != nil {
		return errors.Wrap(err, "attach to the call at the claim's holder")
	}
	defer func() { _ = stream.Close() }()
	for {
		frame, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive a frame from the claim's holder")
		}
		if err := send(frame); err != nil {
			return err
		}
		if railcall.IsFinal(frame.GetKind()) {
			return nil
		}
	}
}
