package railgateway

import (
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
	"github.com/fulmarrail/fulmarrail/internal/core/railsample"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/node/railconn"
	"github.com/fulmarrail/fulmarrail/internal/request/railenvelope"
	"github.com/fulmarrail/fulmarrail/internal/request/railpatience"
	"github.com/fulmarrail/fulmarrail/internal/retry/railbudget"
	"github.com/fulmarrail/fulmarrail/internal/routing/railadmitter"
)

const (
	concurrency    = 1 << 14
	maxHeaderBytes = 32 << 10
	maxBodyBytes   = 8 << 20
	// idleTimeout is longer than any caller keeps an idle connection: the callers close theirs.
	idleTimeout   = 10 * time.Minute
	drainInterval = 20 * time.Millisecond
	// balancerDelay is the time after which the balancer sends no new connection to an entry that is not ready, which asks
	// once a second and goes by two answers in a row.
	balancerDelay = 2500 * time.Millisecond
	// onTimeLines is the number of answers on time a second of which a line is logged.
	onTimeLines = 5
)

// Gateway is one entry process; its fields are set before Run.
type Gateway struct {
	// Callers is the listener for callers, and Ready that of the balancer's readiness checks.
	CallerListener, ReadyListener net.Listener
	// ReadyPath is the path that the balancer asks for.
	ReadyPath  string
	Translator railenvelope.Translator
	Fleet      *railfleet.Fleet
	// Catalog returns the configuration in force, or false when none is known.
	Catalog func() (railcatalog.Catalog, bool)
	// Placed reports whether this entry knows which other entries there are, without which it can't tell its part of what
	// endpoints bear.
	EntriesKnown func() bool
	// Age returns the time since the configuration was last known to be current.
	ConfigAge func() time.Duration
	// ListAge returns the age of the list of endpoints.
	EndpointListAge func() time.Duration
	// KeyAge is the age of the configuration from which on customers' keys can't be trusted any more.
	MaxConfigAge time.Duration
	// Oldest returns the oldest version of a model's weights that may begin an answer now.
	MinVersion func(model string) int64
	// Due returns the next version of a model's weights whose time ends, and the time until then.
	NextMinVersion func(model string) (int64, time.Duration)
	// Objective is the share of each route's requests, in percent, that are to be answered whole and on time.
	ObjectivePercent float64
	// RetryShare is the share of a repeat that each request earns.
	RetryShare float64
	Log        *slog.Logger

	onTime   railsample.Sampler
	stopping atomic.Bool
	// leaving is the time of the planned stop.
	leaving   atomic.Int64
	running   atomic.Int64
	patience  railpatience.RetryDetector
	burn      railburn.Recorder
	admitters sync.Map
	budgets   sync.Map
}

// Run serves until ctx is done, then lets running answers end within the given time; nil means that none was cut off.
func (g *Gateway) Run(ctx context.Context, drain time.Duration) error {
	g.onTime.PerSecond = onTimeLines
	server := &fasthttp.Server{
		Handler: g.handle, Concurrency: concurrency, ReadBufferSize: maxHeaderBytes, MaxRequestBodySize: maxBodyBytes,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true, IdleTimeout: idleTimeout, Logger: silent{},
		DisablePreParseMultipartForm: true, ConnState: noteIdle,
	}
	listener := &railconn.Listener{Listener: g.CallerListener}
	ready := &fasthttp.Server{Handler: g.readiness, NoDefaultServerHeader: true, Logger: silent{}}
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(listener) }()
	go func() { failed <- ready.Serve(g.ReadyListener) }()
	g.Log.Info("gateway started", "callers", g.CallerListener.Addr().String())
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	return g.drain(listener, drain)
}

// noteIdle notes that a caller's connection waits for its next request.
func noteIdle(c net.Conn, state fasthttp.ConnState) {
	if watched, ok := c.(*railconn.Conn); ok && state == fasthttp.StateIdle {
		watched.MarkIdle()
	}
}

// closing reports whether the stop has come so far that a new request could not end before it.
func (g *Gateway) closing() bool {
	return g.stopping.Load() && time.Since(time.Unix(0, g.leaving.Load())) > balancerDelay
}

// Wake grants places to waiting requests as far as there is room.
func (g *Gateway) Wake() {
	g.admitters.Range(func(_, a any) bool {
		a.(*railadmitter.Admitter).Wake()
		return true
	})
}

// drain takes the entry out of the balancer and waits until nothing runs.
func (g *Gateway) drain(listener *railconn.Listener, limit time.Duration) error {
	began := time.Now()
	g.leaving.Store(began.UnixNano())
	g.stopping.Store(true)
	g.Log.Info("gateway leaves, running requests end", "running", g.running.Load(), "idleClosed", listener.CloseIdle())
	for time.Since(began) < limit {
		if time.Since(began) > balancerDelay && g.running.Load() == 0 {
			g.Log.Info("gateway has left, nothing was cut off")
			return nil
		}
		time.Sleep(drainInterval)
	}
	return errors.Newf("%d requests were cut off", g.running.Load())
}

func (g *Gateway) readiness(ctx *fasthttp.RequestCtx) {
	if reason := g.unready(); string(ctx.Path()) != g.ReadyPath || reason != "" {
		ctx.Error(reason, fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

// unready returns the reason for which the balancer is to send no callers, or an empty string.
func (g *Gateway) unready() string {
	catalog, known := g.Catalog()
	switch {
	case g.stopping.Load():
		return "the entry is about to stop"
	case !known:
		return "no configuration is known yet"
	case !g.EntriesKnown():
		return "the other entries are not known yet"
	case catalog.NeedsKeys() && g.ConfigAge() > g.MaxConfigAge:
		return "the store is out of reach"
	}
	return ""
}

func (g *Gateway) admitter(service string) *railadmitter.Admitter {
	if a, ok := g.admitters.Load(service); ok {
		return a.(*railadmitter.Admitter)
	}
	a, _ := g.admitters.LoadOrStore(service, &railadmitter.Admitter{Fleet: g.Fleet})
	return a.(*railadmitter.Admitter)
}

func (g *Gateway) budget(service string) *railbudget.Budget {
	if b, ok := g.budgets.Load(service); ok {
		return b.(*railbudget.Budget)
	}
	b, _ := g.budgets.LoadOrStore(service, &railbudget.Budget{})
	return b.(*railbudget.Budget)
}

// silent drops the HTTP library's own lines about broken connections.
type silent struct{}

func (silent) Printf(string, ...any) {}
