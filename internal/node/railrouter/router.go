package railrouter

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmarrail/fulmarrail/internal/core/raillog"

	"github.com/fulmarrail/fulmarrail/internal/burn/railburn"
	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/config/railkeeper"
	"github.com/fulmarrail/fulmarrail/internal/config/railpublisher"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
	"github.com/fulmarrail/fulmarrail/internal/config/railservice"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/membership/railroster"
	"github.com/fulmarrail/fulmarrail/internal/membership/railwatcher"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/retry/railbudget"
	"github.com/fulmarrail/fulmarrail/internal/retry/railforwarder"
	"github.com/fulmarrail/fulmarrail/internal/routing/railcandidate"
	"github.com/fulmarrail/fulmarrail/internal/routing/railchooser"
	"github.com/fulmarrail/fulmarrail/internal/routing/raildispatcher"
	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
	"github.com/fulmarrail/fulmarrail/internal/store/railstore"
	"github.com/fulmarrail/fulmarrail/internal/store/railweights"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	rosterInterval = 2 * time.Second
	beatInterval   = time.Second
	syncInterval   = 500 * time.Millisecond
	syncTimeout    = 3 * time.Second
	// isolatedAfter is the silence of the platform and of most entries after which an entry takes itself for cut off.
	isolatedAfter = 5 * time.Second

	reasonLeaving  = "this entry is about to stop; use another one"
	reasonIsolated = "this entry is cut off from the platform and the other entries; use another one"
)

// Router takes requests to endpoints; its fields are set before Run.
type Router struct {
	// Self is the entry as the platform lists it.
	Self     railmember.Member
	Platform railstore.Store
	// ReadFolder returns a view of the operators' folder, or is nil for an entry that follows only.
	ReadFolder func() (railfolder.Folder, error)
	Dialer     *raildialer.Dialer
	Log        *slog.Logger

	once        sync.Once
	stopping    atomic.Bool
	timer       *railtimer.Service
	keeper      *railkeeper.Keeper
	publisher   *railpublisher.Publisher
	roster      *railroster.Roster
	watcher     *railwatcher.Watcher
	forwarders  sync.Map
	dispatchers sync.Map
	burn        *railburn.Recorder
	fault       atomic.Value
}

// Run keeps the router's views current until ctx is done.
func (r *Router) Run(ctx context.Context) {
	r.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.timer.Run(ctx) })
	wg.Go(func() { r.roster.Run(ctx) })
	wg.Go(func() { r.sync(ctx) })
	wg.Go(func() { r.watcher.Run(ctx) })
}

// StopAccepting ends the taking of new work for good.
func (r *Router) StopAccepting() {
	r.stopping.Store(true)
}

// Revision returns the revision in force and whether there is one.
func (r *Router) Revision() (railrevision.Revision, bool) {
	r.init()
	return r.keeper.Current()
}

// RefusalReason returns the reason for which this entry takes no new work of a service, or an empty string.
func (r *Router) RefusalReason(service railservice.Service) string {
	r.init()
	switch {
	case r.stopping.Load():
		return reasonLeaving
	case service.WhenIsolated == railservice.RefuseWhenIsolated && r.isolated():
		return reasonIsolated
	}
	return ""
}

// Forward runs a request and hands its frames to sink; see railforwarder.
func (r *Router) Forward(ctx context.Context, req railrequest.Request, sink func(endpoint string, frame *railproto.Frame) error) (railverdict.Verdict, *railproto.Frame, error) {
	r.init()
	return r.forwarder(req.Service).Forward(ctx, req, sink)
}

// Observe counts a finished request for the objectives that cover it.
func (r *Router) Observe(req railrequest.Request, verdict railverdict.Verdict, firstToken, betweenTokens time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`fulmarrail_requests_total{service=%q,verdict=%q}`, req.Service, verdict)).Inc()
	if verdict == railverdict.Ran {
		metrics.GetOrCreateHistogram(fmt.Sprintf(`fulmarrail_first_token_seconds{service=%q}`, req.Service)).Update(firstToken.Seconds())
	}
	revision, ok := r.keeper.Current()
	if !ok {
		return
	}
	r.burn.Observe(revision.Spec().Objectives(), req.Service, req.Customer, verdict == railverdict.Ran, firstToken, betweenTokens)
}

func (r *Router) init() {
	r.once.Do(func() {
		r.timer = &railtimer.Service{Jitter: true}
		r.keeper = &railkeeper.Keeper{}
		r.burn = &railburn.Recorder{}
		r.publisher = &railpublisher.Publisher{
			Table: r.Platform, Objects: r.Platform, Keeper: r.keeper, ResolveVersion: railweights.Origin{Objects: r.Platform}.ResolveVersion,
			ReadFolder: r.ReadFolder, Log: raillog.Part(r.Log, "config"),
		}
		r.roster = &railroster.Roster{
			Region: r.Self.Region, List: r.Platform.Members, Timer: r.timer, Interval: rosterInterval, Log: raillog.Part(r.Log, "roster"),
		}
		r.watcher = &railwatcher.Watcher{
			Name: r.Self.Name, Roster: r.roster, Keeper: r.keeper, Timer: r.timer, Interval: beatInterval,
			Connect: r.Dialer.Node, OnUpdate: r.wake, Leaving: r.stopping.Load, Log: raillog.Part(r.Log, "watcher"),
		}
	})
}

// sync follows the platform and publishes the folder.
func (r *Router) sync(ctx context.Context) {
	ticks, stop := r.timer.Subscribe(syncInterval)
	defer stop()
	for n := 0; ; n++ {
		// The folder is looked at on every tick, the platform's row on every second one.
		if n%2 == 0 || r.folderChanged() {
			r.syncOnce(ctx)
		}
		select {
		case <-ticks:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Router) syncOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var err error
	if r.ReadFolder == nil {
		_, err = r.publisher.Follow(ctx)
	} else {
		err = r.publisher.Sync(ctx)
	}
	if err != nil {
		r.Log.Debug("configuration not synchronized", "err", err)
	}
	r.fault.Store(r.publisher.Fault())
}

// folderChanged reports whether the folder holds something new against the revision in force.
func (r *Router) folderChanged() bool {
	if r.ReadFolder == nil {
		return false
	}
	folder, err := r.ReadFolder()
	if err != nil {
		return false
	}
	current, _ := r.keeper.Current()
	return current.DiffersFrom(folder)
}

// isolated reports whether neither the platform nor most of the sampled entries have been reached lately.
func (r *Router) isolated() bool {
	return r.keeper.Age() > isolatedAfter && r.watcher.Isolated(isolatedAfter)
}

func (r *Router) forwarder(service string) *railforwarder.Forwarder {
	if f, ok := r.forwarders.Load(service); ok {
		return f.(*railforwarder.Forwarder)
	}
	f, _ := r.forwarders.LoadOrStore(service, &railforwarder.Forwarder{
		Acquire: func(ctx context.Context, req railrequest.Request, back bool) (railcandidate.Candidate, error) {
			return r.dispatcher(service).Acquire(ctx, req, r.service(service).QueueSize, back)
		},
		Connect: r.Dialer.Agent, UpdateLoad: r.watcher.UpdateLoad, Suspect: r.watcher.Suspect, RecordDecision: r.watcher.RecordDecision, Revision: r.keeper.Number,
		RecordCompletion: func(priority int, took time.Duration) { r.dispatcher(service).RecordCompletion(priority, took) },
		Budget:           &railbudget.Budget{}, RetryShare: func() float64 { return r.service(service).RetryShare },
		Log: raillog.Part(r.Log, "forwarder"),
	})
	return f.(*railforwarder.Forwarder)
}

func (r *Router) dispatcher(service string) *raildispatcher.Dispatcher {
	if d, ok := r.dispatchers.Load(service); ok {
		return d.(*raildispatcher.Dispatcher)
	}
	d, _ := r.dispatchers.LoadOrStore(service, &raildispatcher.Dispatcher{
		Chooser:      railchooser.Chooser{Zone: r.Self.Zone, Random: rand.New(rand.NewPCG(railhash.Score(service, r.Self.Name), 0))},
		Candidates:   func() []railcandidate.Candidate { return r.watcher.Candidates(service) },
		RecordSent:   r.watcher.RecordSent,
		RecordUnsent: r.watcher.RecordDecision,
	})
	return d.(*raildispatcher.Dispatcher)
}

func (r *Router) service(name string) railservice.Service {
	revision, _ := r.keeper.Current()
	service, _ := revision.Spec().Service(name)
	return service
}

func (r *Router) wake() {
	r.dispatchers.Range(func(_, d any) bool {
		d.(*raildispatcher.Dispatcher).Wake()
		return true
	})
}
