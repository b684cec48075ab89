package railgateway

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/config/railcustomer"
	"github.com/fulmarrail/fulmarrail/internal/config/railroute"
	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/limit/railconnlimits"
	"github.com/fulmarrail/fulmarrail/internal/limit/railquarantine"
	"github.com/fulmarrail/fulmarrail/internal/node/railconn"
	"github.com/fulmarrail/fulmarrail/internal/request/railheader"
	"github.com/fulmarrail/fulmarrail/internal/request/railretrydetector"
	"github.com/fulmarrail/fulmarrail/internal/routing/railadmitter"
	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

// call is one caller's request and its state while it is handled.
type call struct {
	railheader.Request
	ctx *fasthttp.RequestCtx
	// conn is the caller's connection, or nil if it can't be watched for a disconnect.
	conn *railconn.Conn
	// limits holds those that were in force when the request began to arrive.
	limits   railconnlimits.Limits
	start    time.Time
	deadline time.Time
	service  string
	route    railroute.Route
	customer railcustomer.Customer
	// keyRequired is set if the request was accepted by its key, which must still be valid at each attempt.
	keyRequired bool
	// upstream is the header as it is sent to endpoints, without the fields that are set for each attempt. body is not changed, since attempts
	// may still send it after the request has ended.
	upstream fasthttp.RequestHeader
	body     []byte
	// sendDelay is the time until the request was sent to the endpoint that answered it, firstDelay the time until its response
	// started, and maxGap the longest pause between two events of the response.
	sendDelay, firstDelay, maxGap time.Duration
	// likelyRetry is set if the request is probably a retry by a caller that was rejected before.
	likelyRetry bool
	tries       tries
	// workCtx is canceled when the caller disconnects, the deadline passes or the drain ends. Its cause tells which.
	workCtx context.Context
	cancel  func(cause error)
	// finished is set when the request has ended, and disconnected if its caller had disconnected before that.
	finished, disconnected bool
	// cause is why the request's work was ended, once it has ended.
	cause endCause
	// stopWatch stops watching the caller's connection for a disconnect.
	stopWatch func()
}

// rejection is the response to a request that the entry answers itself.
type rejection struct {
	status int
	reason string
	// retryAfter is the time after which the request may be served, or 0 if it depends on the load.
	retryAfter time.Duration
	// quarantined is set if the request's prompt has quarantined parts. Its rejection does not count against its route's objective.
	quarantined bool
	// logAttrs are additional log attributes that explain the decision.
	logAttrs []any
}

// handle serves one request. The response announces how long its connection may stay idle. During a drain it announces the end of the connection, also
// if the request came before.
func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	railconn.RespondAtOnce(ctx)
	g.serve(ctx)
	idle := time.Duration(0)
	if conn, ok := ctx.Conn().(*railconn.Conn); ok {
		idle = conn.Limits().IdleTimeout - keepAliveMargin
	}
	switch {
	case g.drainState.draining.Load():
		ctx.SetConnectionClose()
	case idle > 0:
		ctx.Response.Header.Set("Keep-Alive", "timeout="+strconv.Itoa(int(idle.Seconds())))
	}
}

func (g *Gateway) serve(ctx *fasthttp.RequestCtx) {
	c := &call{ctx: ctx, start: time.Now()}
	defer func() {
		if railpanic.Recovered(recover(), g.Log, unitRequest, "request", c.ID) != nil {
			g.endPanicked(c)
		}
	}()
	if c.conn, _ = ctx.Conn().(*railconn.Conn); c.conn != nil {
		c.conn.MarkAnswering()
		c.limits = c.conn.Limits()
	}
	c.Request = g.Translator.ParseRequest(&ctx.Request.Header)
	if c.conn != nil {
		c.conn.SetRequestID(c.ID)
	}
	if rejected := g.admit(c); rejected != nil {
		g.reject(c, rejected)
		return
	}
	c.body = ctx.Request.SwapBody(nil)     // The server would use the memory for its next request.
	ctx.Request.Header.CopyTo(&c.upstream) // A copy of the whole request would hold its parsed URI, which is sent normalized.
	removeHopByHopHeaders(&c.upstream)
	g.inFlight.Add(1)
	c.begin(g.drainState.ctx)
	g.forward(c)
}

// admit sets a request's route, customer, service and deadline, and whether it is likely to be a retry. It returns a rejection if the
// request can't be accepted.
func (g *Gateway) admit(c *call) *rejection {
	if g.drainState.rejects(0) {
		return &rejection{status: fasthttp.StatusServiceUnavailable, reason: "the entry is about to stop"}
	}
	catalog, known := g.Catalog()
	if !known {
		return &rejection{status: fasthttp.StatusServiceUnavailable, reason: "no configuration is known yet"}
	}
	if rejected := c.checkSize(); rejected != nil {
		return rejected
	}
	path, _, _ := strings.Cut(string(c.ctx.Request.Header.RequestURI()), "?")
	route, ok := catalog.Match(string(c.ctx.Request.Header.Host()), path)
	if !ok {
		return &rejection{status: fasthttp.StatusNotFound, reason: "no route matches"}
	}
	c.route = route
	if rejected := g.authenticate(c, catalog); rejected != nil {
		return rejected
	}
	c.service = route.PickService(rand.Float64())
	requestTime := minPositive(c.Timeout, route.Timeout)
	if g.drainState.rejects(requestTime) {
		return &rejection{status: fasthttp.StatusServiceUnavailable, reason: "the entry is about to stop"}
	}
	c.deadline = c.start.Add(requestTime)
	c.likelyRetry = g.retryDetector.Observe(route.Name, c.customer.Name, c.Timeout)
	return nil
}

// checkSize returns a rejection if the request exceeds the limits that were in force when it began to arrive.
func (c *call) checkSize() *rejection {
	limits := c.limits
	switch {
	case limits.MaxHeaderBytes > 0 && headBytes(&c.ctx.Request.Header) > limits.MaxHeaderBytes:
		return &rejection{status: fasthttp.StatusRequestHeaderFieldsTooLarge, reason: "the request's head is too long"}
	case limits.MaxBodyBytes > 0 && len(c.ctx.Request.Body()) > limits.MaxBodyBytes:
		return &rejection{status: fasthttp.StatusRequestEntityTooLarge, reason: "the body is too long"}
	}
	return nil
}

// headBytes returns the size of a request's line and headers, without the line breaks around the headers.
func headBytes(h *fasthttp.RequestHeader) int {
	return len(h.Method()) + len(" ") + len(h.RequestURI()) + len(" ") + len(h.Protocol()) + len(h.RawHeaders())
}

// authenticate sets the customer that owns the request's key. It returns a rejection if the route needs a key and the key is unknown
// or can't be checked.
func (g *Gateway) authenticate(c *call, catalog railcatalog.Catalog) *rejection {
	if !catalog.RequiresKeys() {
		return nil
	}
	customer, ok := catalog.CustomerByKey(c.APIKey)
	c.customer = customer
	c.keyRequired = ok && !c.route.Public
	switch {
	case c.route.Public:
		return nil
	case g.ConfigAge() > g.MaxConfigAge:
		return &rejection{status: fasthttp.StatusServiceUnavailable, reason: "the store is out of reach, keys can't be checked"}
	case !ok:
		return &rejection{status: fasthttp.StatusUnauthorized, reason: "the key is unknown"}
	}
	return nil
}

// keyStillValid reports whether the request needs no key, or its key is valid now.
func (g *Gateway) keyStillValid(c *call) bool {
	if !c.keyRequired {
		return true
	}
	catalog, known := g.Catalog()
	if !known || g.ConfigAge() > g.MaxConfigAge {
		return false
	}
	_, ok := catalog.CustomerByKey(c.APIKey)
	return ok
}

// reject responds with a rejection's status and reason, and logs it.
func (g *Gateway) reject(c *call, rejected *rejection) {
	g.respond(c, rejected)
	g.contain(c, func() { g.recordRejection(c, rejected) })
}

// respond responds with a rejection's status and reason.
func (g *Gateway) respond(c *call, rejected *rejection) {
	c.ctx.Response.Reset()
	c.ctx.SetStatusCode(rejected.status)
	c.ctx.SetBodyString(rejected.reason + "\n")
	if rejected.status == fasthttp.StatusServiceUnavailable {
		retryAfter := cmp.Or(rejected.retryAfter, railretrydetector.RetryAfter(c.Timeout, time.Since(c.start), rand.Float64()))
		c.ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, formatSeconds(retryAfter))
	}
}

// recordRejection counts and logs a rejection.
func (g *Gateway) recordRejection(c *call, rejected *rejection) {
	countRequest(c, rejected.status)
	if rejected.status >= fasthttp.StatusInternalServerError && !rejected.quarantined {
		g.observe(c, false)
	}
	catalog, _ := g.Catalog()
	g.Log.With(rejected.logAttrs...).Info("request refused", "request", c.ID, "ended", g.recordEnd(c, endingOf(rejected.status)), "cause", c.endCause(), "route", c.route.Name, "customer", c.customer.Name, "status", rejected.status,
		"reason", rejected.reason, "config", catalog.Version, "configAge", g.ConfigAge(), "listAge", g.EndpointListAge(), "deadline", c.Timeout, "later", c.likelyRetry,
		"after", time.Since(c.start))
}

// rejectionAttrs returns log attributes that explain why a request was not granted a lease, or nil for any other error.
func rejectionAttrs(err error) []any {
	var quarantined *railquarantine.QuarantinedError
	if errors.As(err, &quarantined) {
		return []any{"parts", quarantined.Parts, "remaining", quarantined.Remaining}
	}
	var rejectionErr *railadmitter.RejectionError
	if !errors.As(err, &rejectionErr) {
		return nil
	}
	return []any{
		"serving", rejectionErr.Eligible, "waiting", rejectionErr.Ahead, "expectedWait", rejectionErr.ExpectedWait, "pauseRemaining", rejectionErr.PauseRemaining,
		"limited", rejectionErr.Limited, "grants", rejectionErr.Grants,
	}
}

// quarantineTime returns the time for which parts of a rejected request's prompt are quarantined, or 0.
func quarantineTime(err error) time.Duration {
	var quarantined *railquarantine.QuarantinedError
	if !errors.As(err, &quarantined) {
		return 0
	}
	return quarantined.Remaining
}

// logResponse logs a complete response with the inputs of its routing decision: every late one, and a sample of the others.
func (g *Gateway) logResponse(c *call, a *attempt) {
	g.observe(c, a.exchange.Header.StatusCode() < fasthttp.StatusInternalServerError)
	late := c.firstDelay > c.route.TargetLatency || c.route.MaxEventGap > 0 && c.maxGap > c.route.MaxEventGap
	suppressed := 0
	if !late && !g.Log.Enabled(c.workCtx, slog.LevelDebug) {
		var ok bool
		if suppressed, ok = g.onTimeSampler.Allow(); !ok {
			return
		}
	}
	lease := a.lease
	g.Log.Info("request answered", "request", c.ID, "route", c.route.Name, "customer", c.customer.Name,
		"endpoint", lease.Instance.ID, "zone", lease.Instance.Zone, "row", railversion.String(lease.Instance.RowVersion), "weights", lease.Instance.WeightsVersion, "startWithin", lease.StartWithin(), "held", c.sendDelay, "predicted", lease.PredictedDelay,
		"first", c.firstDelay, "gap", c.maxGap, "running", lease.Load.Running, "unread", lease.Load.PendingPrefill, "prompt", c.PromptTokens, "deadline", c.Timeout, "later", c.likelyRetry, "after", time.Since(c.start), "late", late, "leftOut", suppressed)
}

// countRequest counts a finished request by its status.
func countRequest(c *call, status int) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`fulmarrail_gateway_requests_total{service=%q,customer=%q,status="%d"}`, c.service, c.customer.Name, status)).Inc()
}

// minPositive returns the shorter of two time limits, ignoring one that is not positive.
func minPositive(a, b time.Duration) time.Duration {
	switch {
	case a <= 0:
		return b
	case b <= 0:
		return a
	}
	return min(a, b)
}
