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
	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/raillog"

	"github.com/fulmarrail/fulmarrail/internal/burn/railburn"
	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/config/railpublisher"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevisioncache"
	"github.com/fulmarrail/fulmarrail/internal/config/railservice"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/limit/railquarantine"
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
	"github.com/fulmarrail/fulmarrail/internal/store/railera"
	"github.com/fulmarrail/fulmarrail/internal/store/railstore"
	"github.com/fulmarrail/fulmarrail/internal/store/railweights"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	rosterRefreshInterval = 2 * time.Second
	heartbeatInterval     = time.Second
	configSyncInterval    = 500 * time.Millisecond
	configSyncTimeout     = 3 * time.Second
	// isolationTimeout is the time without contact to most of the sampled entries, and without a confirmation of the revision from the
	// platform's store or another process, after which an entry considers itself isolated.
	isolationTimeout = 5 * time.Second

	reasonLeaving  = "this entry is about to stop; use another one"
	reasonIsolated = "this entry is cut off from the platform and the other entries; use another one"
)

// Router routes requests to endpoints. Its exported fields must be set before first use.
type Router struct {
	// Self is the entry as it appears in the platform's VM list.
	Self railmember.Member
	// Platform is the platform's table service, object store and VM list.
	Platform railstore.Store
	// ReadFolder reads the operators' configuration files. If it is nil, the entry does not publish configuration and only follows the
	// published revisions.
	ReadFolder func() (railfolder.Folder, error)
	Dialer     *raildialer.Dialer
	Log        *slog.Logger

	once         sync.Once
	stopping     atomic.Bool
	timer        *railtimer.Service
	era          *railera.Tracker
	revisions    *railrevisioncache.Cache
	publisher    *railpublisher.Publisher
	roster       *railroster.Roster
	watcher      *railwatcher.Watcher
	forwarders   sync.Map
	dispatchers  sync.Map
	burnRecorder *railburn.Recorder
	quarantine   *railquarantine.Quarantine
	configError  atomic.Value
}

// Run keeps the configuration and the state of members and endpoints current until ctx is done.
func (r *Router) Run(ctx context.Context) {
	r.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.timer.Run(ctx) })
	wg.Go(func() { r.roster.Run(ctx) })
	wg.Go(func() { r.syncConfig(ctx) })
	wg.Go(func() { r.watcher.Run(ctx) })
}

// StopAccepting makes the entry reject new requests. It can't be undone.
func (r *Router) StopAccepting() {
	r.stopping.Store(true)
}

// Stopping reports whether StopAccepting was called.
func (r *Router) Stopping() bool {
	return r.stopping.Load()
}

// Revision returns the current revision, or false if there is none.
func (r *Router) Revision() (railrevision.Revision, bool) {
	r.init()
	return r.revisions.Current()
}

// RejectionReason returns the reason why this entry rejects new requests for a service, or an empty string if it accepts them.
func (r *Router) RejectionReason(service railservice.Service) string {
	r.init()
	switch {
	case r.stopping.Load():
		return reasonLeaving
	case service.WhenIsolated == railservice.RefuseWhenIsolated && r.isolated():
		return reasonIsolated
	}
	return ""
}

// Forward runs a request and passes each frame of its response to sink. See railforwarder.Forwarder.Forward.
func (r *Router) Forward(ctx context.Context, req railrequest.Request, sink func(endpoint string, frame *railproto.Frame) error) (railverdict.Verdict, *railproto.Frame, error) {
	r.init()
	return r.forwarder(req.Service).Forward(ctx, req, sink)
}

// Observe records a finished request in the metrics and for the objectives that cover it.
func (r *Router) Observe(req railrequest.Request, verdict railverdict.Verdict, firstToken, betweenTokens time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`fulmarrail_requests_total{service=%q,verdict=%q}`, req.Service, verdict)).Inc()
	if verdict == railverdict.Ran {
		metrics.GetOrCreateHistogram(fmt.Sprintf(`fulmarrail_first_token_seconds{service=%q}`, req.Service)).Update(firstToken.Seconds())
	}
	revision, ok := r.revisions.Current()
	if !ok {
		return
	}
	r.burnRecorder.Observe(revision.Spec().Objectives(), req.Service, req.Customer, verdict == railverdict.Ran, firstToken, betweenTokens)
}

func (r *Router) init() {
	r.once.Do(func() {
		r.timer = &railtimer.Service{Jitter: true}
		r.era = &railera.Tracker{}
		r.revisions = &railrevisioncache.Cache{KeepNewer: true}
		r.burnRecorder = &railburn.Recorder{}
		r.quarantine = &railquarantine.Quarantine{Log: raillog.Named(r.Log, "quarantine")}
		r.publisher = &railpublisher.Publisher{
			Table: r.era.Watch(r.Platform), Era: r.era, Objects: r.Platform, Revisions: r.revisions, ResolveVersion: railweights.Origin{Objects: r.Platform}.ResolveVersion,
			ReadFolder: r.ReadFolder, Log: raillog.Named(r.Log, "config"),
		}
		r.roster = &railroster.Roster{
			Region: r.Self.Region, List: r.Platform.Members, Incomplete: r.listIncomplete, Timer: r.timer, Interval: rosterRefreshInterval, Log: raillog.Named(r.Log, "roster"),
		}
		r.watcher = &railwatcher.Watcher{
			Name: r.Self.Name, Roster: r.roster, Revisions: r.revisions, Era: r.era, Timer: r.timer, Interval: heartbeatInterval, Quarantine: r.quarantine,
			Connect: r.Dialer.Node, OnUpdate: r.wakeDispatchers, Leaving: r.stopping.Load, Log: raillog.Named(r.Log, "watcher"),
		}
	})
}

// listIncomplete reports whether the platform may not have written again all VMs that a restored list has lost.
func (r *Router) listIncomplete(ctx context.Context) bool {
	return r.era.BegunWithin(ctx, r.Platform, railpublisher.CurrentRowKey, railroster.RewriteTime)
}

// syncConfig follows the revisions in the platform's store, and publishes the operators' configuration files if they have changed.
func (r *Router) syncConfig(ctx context.Context) {
	ticks, stop := r.timer.Subscribe(configSyncInterval)
	defer stop()
	for n := 0; ; n++ {
		// The files are checked on every tick, the store's current revision on every second one.
		if n%2 == 0 || r.folderChanged() {
			r.syncConfigOnce(ctx)
		}
		select {
		case <-ticks:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Router) syncConfigOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, configSyncTimeout)
	defer cancel()
	var err error
	if r.ReadFolder == nil {
		_, err = r.publisher.Pull(ctx)
	} else {
		err = r.publisher.Sync(ctx)
	}
	if err != nil {
		r.Log.Debug("configuration not synchronized", "err", err)
	}
	r.configError.Store(r.publisher.LastError())
}

// folderChanged reports whether the operators' configuration files differ from the current revision.
func (r *Router) folderChanged() bool {
	if r.ReadFolder == nil {
		return false
	}
	folder, err := r.ReadFolder()
	if err != nil {
		return false
	}
	current, _ := r.revisions.Current()
	return current.DiffersFrom(folder)
}

// isolated reports whether, within isolationTimeout, the revision was not confirmed to be current and at most half of the sampled
// entries replied.
func (r *Router) isolated() bool {
	return r.revisions.Age() > isolationTimeout && r.watcher.Isolated(isolationTimeout)
}

func (r *Router) forwarder(service string) *railforwarder.Forwarder {
	if f, ok := r.forwarders.Load(service); ok {
		return f.(*railforwarder.Forwarder)
	}
	f, _ := r.forwarders.LoadOrStore(service, &railforwarder.Forwarder{
		Acquire: func(ctx context.Context, req railrequest.Request, requeue bool) (railcandidate.Candidate, error) {
			return r.dispatcher(service).Acquire(ctx, req, r.service(service).QueueSize, requeue)
		},
		Connect: r.Dialer.Agent, UpdateLoad: r.watcher.UpdateLoad, Suspect: r.watcher.Suspect, RecordDecision: r.watcher.RecordDecision, Revision: r.revisions.Number,
		RecordCompletion: func(priority int, elapsed time.Duration) { r.dispatcher(service).RecordCompletion(priority, elapsed) },
		Budget:           &railbudget.Budget{}, RetryShare: func() float64 { return r.service(service).RetryShare },
		Quarantine: r.quarantine, Log: raillog.Named(r.Log, "forwarder"),
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

		FirstPauseEnd: func() (time.Time, bool) { return r.watcher.FirstPauseEnd(service) },
		Unservable:    func(customer string) error { return r.checkConfigured(service, customer) },
		Revision:      r.revisions.Number,
		Log:           raillog.Named(r.Log, "dispatcher"),
	})
	return d.(*raildispatcher.Dispatcher)
}

// checkConfigured returns an error if the current revision has no such service or customer, as after one that drops it.
func (r *Router) checkConfigured(service, customer string) error {
	revision, ok := r.revisions.Current()
	if !ok {
		return nil
	}
	if _, known := revision.Spec().Service(service); !known {
		return errors.Newf("there is no service %q any more", service)
	}
	if _, known := revision.Spec().Customer(customer); !known {
		return errors.Newf("there is no customer %q any more", customer)
	}
	return nil
}

func (r *Router) service(name string) railservice.Service {
	revision, _ := r.revisions.Current()
	service, _ := revision.Spec().Service(name)
	return service
}

func (r *Router) wakeDispatchers() {
	r.dispatchers.Range(func(_, d any) bool {
		d.(*raildispatcher.Dispatcher).Wake()
		return true
	})
}
