package railgateway

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/burn/railburn"
	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/core/raillogsampler"
	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/limit/railconnlimits"
	"github.com/fulmarrail/fulmarrail/internal/limit/railmemory"
	"github.com/fulmarrail/fulmarrail/internal/limit/railquarantine"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/node/railconn"
	"github.com/fulmarrail/fulmarrail/internal/request/railheader"
	"github.com/fulmarrail/fulmarrail/internal/request/railretrydetector"
	"github.com/fulmarrail/fulmarrail/internal/retry/railbudget"
	"github.com/fulmarrail/fulmarrail/internal/routing/railadmitter"
	"github.com/fulmarrail/fulmarrail/internal/wire/railacceptor"
)

const (
	maxConnections = 1 << 14
	maxHeaderBytes = 32 << 10
	maxBodyBytes   = 8 << 20
	// defaultHeaderTimeout and defaultIdleTimeout hold while no configuration sets any.
	defaultHeaderTimeout = 30 * time.Second
	defaultIdleTimeout   = 10 * time.Minute
	// keepAliveMargin is how much sooner than the entry a caller is asked to close an idle connection.
	keepAliveMargin = time.Second
	// bodyTimeout is enough for the longest body at 1 Mbit/s.
	bodyTimeout = 2 * time.Minute
	// onTimeLogsPerSecond is the number of on-time responses that are logged each second.
	onTimeLogsPerSecond = 5
)

// Gateway is one entry process. Its exported fields must be set before Run is called.
type Gateway struct {
	// CallerListener accepts callers' connections, and ReadyListener the load balancer's readiness checks.
	CallerListener, ReadyListener net.Listener
	// ReadyPath is the path of the readiness check.
	ReadyPath  string
	Translator railheader.Translator
	Fleet      *railfleet.Fleet
	// Quarantine keeps requests with parts under which engines end from further engines.
	Quarantine *railquarantine.Quarantine
	// Catalog returns the current configuration, or false if none is known.
	Catalog func() (railcatalog.Catalog, bool)
	// EntriesKnown reports whether the other entries are known. Without them, this entry can't compute its share of an endpoint's
	// capacity.
	EntriesKnown func() bool
	// ConfigAge returns the time since the configuration was last confirmed to be current.
	ConfigAge func() time.Duration
	// EndpointListAge returns the time since the list of endpoints was last confirmed to be current.
	EndpointListAge func() time.Duration
	// MaxRequestMemory is the maximum memory for all larger requests together, in bytes, or 0 for no maximum. What exceeds it is rejected.
	MaxRequestMemory int64
	// MaxConfigAge is the configuration age above which customers' keys are not accepted, since one may have been revoked.
	MaxConfigAge time.Duration
	// MinVersion returns the oldest version of a model's weights on which a response may start now.
	MinVersion func(model string) int64
	// NextMinVersion returns the version that becomes a model's minimum next, and the time until it does.
	NextMinVersion func(model string) (int64, time.Duration)
	// ObjectivePercent is the percentage of each route's requests that must be answered completely and on time.
	ObjectivePercent float64
	// RetryShare is the fraction of a retry that each request adds to the retry budget.
	RetryShare float64
	Log        *slog.Logger

	onTimeSampler    raillogsampler.Sampler
	malformedSampler raillogsampler.Sampler
	lossLog          lossLog
	drainState       drainState
	// inFlight is the number of requests that are being handled. Their responses are written in full only after that.
	inFlight      atomic.Int64
	retryDetector railretrydetector.RetryDetector
	burnRecorder  railburn.Recorder
	// admitters and budgets hold a *railadmitter.Admitter and a *railbudget.Budget for each service.
	admitters sync.Map
	budgets   sync.Map
	// responseMemory bounds the memory of response bodies while they are read.
	responseMemory railmemory.Pool
}

// Run serves callers until ctx is done, then waits up to drainTimeout for requests in flight. Those that are left shortly before that get
// their final response from the entry. It returns an error if serving fails or if the drain did not complete all requests.
func (g *Gateway) Run(ctx context.Context, drainTimeout time.Duration) error {
	g.drainState.init()
	g.onTimeSampler.PerSecond = onTimeLogsPerSecond
	g.responseMemory.MaxBytes = maxResponseMemory
	g.malformedSampler.PerSecond = malformedLogsPerSecond
	g.lossLog.init()
	server := &fasthttp.Server{
		Handler: g.handle, Concurrency: maxConnections, ReadBufferSize: maxHeaderBytes, MaxRequestBodySize: maxBodyBytes,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true, Logger: discardLogger{},
		DisablePreParseMultipartForm: true, HeaderReceived: railconn.HeaderReceived(bodyTimeout), ConnState: railconn.TrackState, ErrorHandler: g.rejectUnreadable,
	}
	listener := &railconn.Listener{Listener: &railacceptor.Acceptor{Listener: g.CallerListener, Log: g.Log}, Limits: g.limits, OnLoss: g.logLoss}
	if g.MaxRequestMemory > 0 {
		listener.Memory = &railmemory.Pool{MaxBytes: g.MaxRequestMemory}
	}
	ready := &fasthttp.Server{Handler: g.readiness, NoDefaultServerHeader: true, Logger: discardLogger{}}
	failed, served := make(chan error, 2), make(chan struct{})
	go func() {
		failed <- server.Serve(listener)
		close(served)
	}()
	go func() { failed <- ready.Serve(&railacceptor.Acceptor{Listener: g.ReadyListener, Log: g.Log}) }()
	g.Log.Info("gateway started", "callers", g.CallerListener.Addr().String())
	var err error
	select {
	case err = <-failed:
		g.Log.Error("no further connections are accepted; the entry stops", "err", err)
	case <-ctx.Done():
	}
	return errors.CombineErrors(errors.Wrap(err, "serve"), g.drain(listener, served, drainTimeout))
}

// Wake grants leases to queued requests as far as endpoints have capacity.
func (g *Gateway) Wake() {
	g.admitters.Range(func(_, a any) bool {
		a.(*railadmitter.Admitter).Wake()
		return true
	})
}

func (g *Gateway) readiness(ctx *fasthttp.RequestCtx) {
	defer func() {
		if railpanic.Recovered(recover(), g.Log, unitReadiness) != nil {
			ctx.Error("the check has failed", fasthttp.StatusServiceUnavailable)
		}
	}()
	if reason := g.unreadyReason(); string(ctx.Path()) != g.ReadyPath || reason != "" {
		ctx.Error(reason, fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

// unreadyReason returns the reason why the entry is not ready for callers, or an empty string if it is.
func (g *Gateway) unreadyReason() string {
	catalog, known := g.Catalog()
	switch {
	case g.drainState.draining.Load():
		return "the entry is about to stop"
	case !known:
		return "no configuration is known yet"
	case !g.EntriesKnown():
		return "the other entries are not known yet"
	case catalog.RequiresKeys() && g.ConfigAge() > g.MaxConfigAge:
		return "the store is out of reach"
	}
	return ""
}

// limits returns the limits of callers' requests that are in force.
func (g *Gateway) limits() (limits railconnlimits.Limits) {
	defer func() {
		if railpanic.Recovered(recover(), g.Log, unitLimits) != nil {
			limits = railconnlimits.Limits{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
		}
	}()
	catalog, _ := g.Catalog()
	l := catalog.Limits
	return railconnlimits.Limits{
		MaxHeaderBytes: l.MaxHeaderBytes, MaxBodyBytes: l.MaxBodyBytes, HeaderTimeout: cmp.Or(l.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout: cmp.Or(l.IdleTimeout, defaultIdleTimeout),
	}
}

func (g *Gateway) admitter(service string) *railadmitter.Admitter {
	if a, ok := g.admitters.Load(service); ok {
		return a.(*railadmitter.Admitter)
	}
	a, _ := g.admitters.LoadOrStore(service, &railadmitter.Admitter{Fleet: g.Fleet, Log: g.Log})
	return a.(*railadmitter.Admitter)
}

func (g *Gateway) budget(service string) *railbudget.Budget {
	if b, ok := g.budgets.Load(service); ok {
		return b.(*railbudget.Budget)
	}
	b, _ := g.budgets.LoadOrStore(service, &railbudget.Budget{})
	return b.(*railbudget.Budget)
}

// discardLogger drops the HTTP library's log lines about broken connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
