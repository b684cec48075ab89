package railadmission

import (
	"log/slog"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railrevisioncache"
	"github.com/fulmarrail/fulmarrail/internal/core/raillogsampler"
	"github.com/fulmarrail/fulmarrail/internal/limit/raillimiter"
	"github.com/fulmarrail/fulmarrail/internal/limit/railqueue"
	"github.com/fulmarrail/fulmarrail/internal/limit/railspacer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railselfreport"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	admitted = railproto.Reason_REASON_UNSPECIFIED
)

// Controller admits requests to one endpoint. Its exported fields must be set before first use. It is safe for concurrent use.
type Controller struct {
	// Incarnation identifies the run of the agent's process. Requests to another incarnation are rejected.
	Incarnation string
	Service     string
	Zone        string
	Config      *railrevisioncache.Cache
	Limiter     *raillimiter.Limiter
	Log         *slog.Logger

	mu                sync.Mutex
	draining          bool
	weightsDigest     string
	engineIncarnation string
	suspended         bool
	// engineReport is what the engine has said of itself.
	engineReport railselfreport.SelfReport
	// controlNamesLimit reports whether the engine has named a limit in a response to a control request.
	controlNamesLimit bool
	// admissions and sends space requests while the engine has a limit: when they are admitted, and when they are sent to it. Between these, some
	// wait for the claim on their key.
	admissions, sends railspacer.Spacer

	samplerOnce      sync.Once
	malformedSampler raillogsampler.Sampler

	queueMu sync.Mutex
	queue   railqueue.Queue[*waiter]
	// openingTimer processes the queue at the engine's next opening. It is nil until the first time.
	openingTimer *time.Timer
}

// Check returns the reason why the request can't be admitted regardless of load, or REASON_UNSPECIFIED if it can.
func (c *Controller) Check(req *railproto.ExecuteRequest) railproto.Reason {
	revision, ok := c.Config.Current()
	if !ok {
		return railproto.Reason_REASON_ISOLATED
	}
	service, known := revision.Spec().Service(c.Service)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case req.GetIncarnation() != c.Incarnation:
		return railproto.Reason_REASON_WRONG_INCARNATION
	case !known || req.GetService() != c.Service:
		return railproto.Reason_REASON_UNKNOWN_SERVICE
	case c.draining:
		return railproto.Reason_REASON_LEAVING
	case revision.ZoneOut(c.Zone):
		return railproto.Reason_REASON_ZONE_OUT
	case service.IsEngine() && (c.weightsDigest == "" || c.suspended):
		return railproto.Reason_REASON_NO_WEIGHTS
	}
	return c.engineReason(time.Now())
}

// TryAdmit admits a request without waiting. It returns the number of requests in flight, this one included, or the reason for
// the rejection.
func (c *Controller) TryAdmit(req *railproto.ExecuteRequest) (inFlight int, reason railproto.Reason) {
	if reason := c.Check(req); reason != admitted {
		return 0, reason
	}
	inFlight, ok := c.Limiter.TryAcquire()
	if !ok {
		return 0, railproto.Reason_REASON_LIMIT
	}
	// The state may have changed since the first check. A weights switch that starts after this check waits for the request.
	if reason := c.Check(req); reason != admitted {
		c.Limiter.ReleaseUnsampled()
		return 0, reason
	}
	if !c.takeOpening() {
		c.Limiter.ReleaseUnsampled()
		return 0, railproto.Reason_REASON_LIMIT
	}
	return inFlight, admitted
}

// Serving reports whether the controller would admit a request for its service, regardless of load.
func (c *Controller) Serving() bool {
	return c.Check(&railproto.ExecuteRequest{Incarnation: c.Incarnation, Service: c.Service}) == admitted
}

// StartDraining rejects all further requests. It can't be undone.
func (c *Controller) StartDraining() {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	c.processQueue()
}

// Draining reports whether StartDraining was called.
func (c *Controller) Draining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// SetWeights records the digest of the complete and intact weights in service, or an empty string if there are none, and the engine's
// incarnation. A change of either resets the limiter because the endpoint starts cold.
func (c *Controller) SetWeights(digest, engineIncarnation string) {
	if c.recordWeights(digest, engineIncarnation) {
		c.Limiter.Reset()
		c.processQueue()
	}
}

// recordWeights reports whether the weights or the engine have changed.
func (c *Controller) recordWeights(digest, engineIncarnation string) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed = digest != c.weightsDigest || engineIncarnation != c.engineIncarnation
	c.weightsDigest, c.engineIncarnation = digest, engineIncarnation
	c.identifyEngine(engineIncarnation)
	return changed
}

// WithdrawWeights stops admission until SetWeights is called again, since the endpoint may serve other weights than recorded.
func (c *Controller) WithdrawWeights() {
	c.mu.Lock()
	incarnation := c.engineIncarnation
	c.mu.Unlock()
	c.SetWeights("", incarnation)
}

// Weights returns the digest of the complete weights in service, or an empty string.
func (c *Controller) Weights() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.weightsDigest
}

// SetSuspended suspends or resumes admission while weights are switched.
func (c *Controller) SetSuspended(suspended bool) {
	c.mu.Lock()
	c.suspended = suspended
	c.mu.Unlock()
	c.processQueue()
}

// Configure applies the service's limits from the current configuration revision.
func (c *Controller) Configure() {
	revision, ok := c.Config.Current()
	if !ok {
		return
	}
	service, ok := revision.Spec().Service(c.Service)
	if !ok {
		return
	}
	c.Limiter.Configure(service.ColdLimit, service.MaxLimit, service.WarmAfterAnswers, service.FirstTokenTarget)
}

// Release ends a request that reached the endpoint; inFlight is the value that its admission returned. firstToken is its time to the
// first token and interToken the mean time between its tokens, or 0 if unknown. ok is false for a failed request.
func (c *Controller) Release(inFlight int, firstToken, interToken time.Duration, ok bool) {
	c.Limiter.Release(inFlight, firstToken, interToken, ok)
	c.processQueue()
}

// ReleaseExpired ends a request that was stopped by its deadline. elapsed is the time since the request was sent to the endpoint;
// firstToken and interToken are 0 if unknown.
func (c *Controller) ReleaseExpired(elapsed, firstToken, interToken time.Duration) {
	c.Limiter.ReleaseExpired(elapsed, firstToken, interToken)
	c.processQueue()
}

// ReleaseUnsampled ends an admitted request that says nothing about the endpoint's load, for example if it never reached the endpoint.
func (c *Controller) ReleaseUnsampled() {
	c.Limiter.ReleaseUnsampled()
	c.processQueue()
}
