package railgate

import (
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railkeeper"
	"github.com/fulmarrail/fulmarrail/internal/limit/raillimiter"
	"github.com/fulmarrail/fulmarrail/internal/limit/railqueue"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	admitted = railproto.Reason_REASON_UNSPECIFIED
)

// Controller decides whether its endpoint takes a request now; its fields are set before its first use.
type Controller struct {
	Incarnation string
	Service     string
	Zone        string
	Config      *railkeeper.Keeper
	Limiter     *raillimiter.Limiter

	mu      sync.Mutex
	leaving bool
	weights string
	engine  string
	pending bool

	waitingMu sync.Mutex
	waiting   railqueue.Queue[*waiter]
}

// Check returns the reason for which a request can't be admitted whatever the load, or the zero reason.
func (g *Controller) Check(req *railproto.ExecuteRequest) railproto.Reason {
	revision, ok := g.Config.Current()
	if !ok {
		return railproto.Reason_REASON_ISOLATED
	}
	service, known := revision.Spec().Service(g.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case req.GetIncarnation() != g.Incarnation:
		return railproto.Reason_REASON_WRONG_INCARNATION
	case !known || req.GetService() != g.Service:
		return railproto.Reason_REASON_UNKNOWN_SERVICE
	case g.leaving:
		return railproto.Reason_REASON_LEAVING
	case revision.ZoneOut(g.Zone):
		return railproto.Reason_REASON_ZONE_OUT
	case service.IsEngine() && (g.weights == "" || g.pending):
		return railproto.Reason_REASON_NO_WEIGHTS
	}
	return admitted
}

// TryAdmit admits a request and returns the number of requests at once with it, or the reason for which it does not.
func (g *Controller) TryAdmit(req *railproto.ExecuteRequest) (together int, reason railproto.Reason) {
	if reason := g.Check(req); reason != admitted {
		return 0, reason
	}
	together, ok := g.Limiter.TryAcquire()
	if !ok {
		return 0, railproto.Reason_REASON_LIMIT
	}
	// The state may have changed since the first check; after this one a switch of weights waits for the request.
	if reason := g.Check(req); reason != admitted {
		g.Limiter.ReleaseUnsampled()
		return 0, reason
	}
	return together, admitted
}

// Serving reports whether the gate would admit a request of its service but for the load.
func (g *Controller) Serving() bool {
	return g.Check(&railproto.ExecuteRequest{Incarnation: g.Incarnation, Service: g.Service}) == admitted
}

// StartDraining ends the admission for good.
func (g *Controller) StartDraining() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// Draining reports whether the endpoint is about to go.
func (g *Controller) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}

// SetWeights notes the complete weights in service and the engine's incarnation; a change of either means a cold start.
func (g *Controller) SetWeights(digest, engine string) {
	g.mu.Lock()
	changed := digest != g.weights || engine != g.engine
	g.weights, g.engine = digest, engine
	g.mu.Unlock()
	if changed {
		g.Limiter.Reset()
	}
}

// Weights returns the digest of the complete weights in service.
func (g *Controller) Weights() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.weights
}

// SetSuspended stops or resumes the admission around a switch of weights.
func (g *Controller) SetSuspended(pending bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending = pending
}

// Configure takes the service's limits from the revision in force.
func (g *Controller) Configure() {
	revision, ok := g.Config.Current()
	if !ok {
		return
	}
	service, ok := revision.Spec().Service(g.Service)
	if !ok {
		return
	}
	g.Limiter.Configure(service.ColdLimit, service.MaxLimit, service.WarmAfter, service.FirstTokenTarget)
}

// Release ends a request that was admitted with a number of others and reached the endpoint.
func (g *Controller) Release(together int, firstToken, betweenTokens time.Duration, ok bool) {
	g.Limiter.Release(together, firstToken, betweenTokens, ok)
	g.grant()
}

// ReleaseExpired ends a request that was cut off by its caller's deadline after the given time.
func (g *Controller) ReleaseExpired(waited, firstToken, betweenTokens time.Duration) {
	g.Limiter.ReleaseExpired(waited, firstToken, betweenTokens)
	g.grant()
}

// ReleaseUnsampled ends an admitted request that teaches nothing about the endpoint's load.
func (g *Controller) ReleaseUnsampled() {
	g.Limiter.ReleaseUnsampled()
	g.grant()
}
