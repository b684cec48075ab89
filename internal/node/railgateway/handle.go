package railgateway

import (
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
	"github.com/fulmarrail/fulmarrail/internal/node/railconn"
	"github.com/fulmarrail/fulmarrail/internal/request/railenvelope"
	"github.com/fulmarrail/fulmarrail/internal/request/railpatience"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/routing/railadmitter"
)

// call is one caller's request on its way.
type call struct {
	railenvelope.Request
	ctx      *fasthttp.RequestCtx
	conn     *railconn.Conn
	began    time.Time
	deadline time.Time
	service  string
	route    railroute.Route
	customer railcustomer.Customer
	keyed    bool
	// sent is the request as endpoints get it, but for what is set for each attempt.
	sent fasthttp.Request
	// held is the time until the request was sent to the endpoint that answered it, first that until its answer began, and gap
	// the longest pause in it.
	held, first, gap time.Duration
	// later says that the request is likely to be that of a caller who was refused and comes back.
	later bool
	// repeated says that the request was taken elsewhere after an endpoint's own failure.
	repeated bool
	// work ends when the caller leaves or the time is up.
	work   context.Context
	cancel context.CancelFunc
	// over says that the request has ended, and left that its caller had left before.
	over, left bool
	// unwatch ends the watch for the caller's leaving.
	unwatch func()
}

// refusal ends a request that has not run with a status of the entry's own.
type refusal struct {
	status int
	reason string
	// inputs are what else decided, for the log.
	inputs []any
}

func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	if g.stopping.Load() {
		ctx.SetConnectionClose()
	}
	c := &call{Request: g.Translator.ParseRequest(&ctx.Request.Header), ctx: ctx, began: time.Now()}
	c.conn, _ = ctx.Conn().(*railconn.Conn)
	if no := g.admit(c); no != nil {
		g.refuse(c, no)
		return
	}
	g.running.Add(1)
	ctx.Request.CopyTo(&c.sent)
	dropHopHeaders(&c.sent.Header)
	c.work, c.cancel = context.WithDeadline(context.Background(), c.deadline)
	c.unwatch = func() {}
	if c.conn != nil {
		c.unwatch = c.conn.Watch(c.cancel)
	}
	g.forward(c)
}

// callerLeft reports whether the caller left before the request ended.
func (c *call) callerLeft() bool {
	if c.over || c.work == nil {
		return c.left
	}
	return errors.Is(c.work.Err(), context.Canceled)
}

// finish ends a call's bookkeeping; nothing of it runs any more.
func (g *Gateway) finish(c *call) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(`fulmarrail_gateway_request_seconds{service=%q}`, c.service)).UpdateDuration(c.began)
	c.left, c.over = c.callerLeft(), true
	c.cancel()
	c.unwatch()
	g.running.Add(-1)
}

// admit finds a request's route and customer, or the reason for which it is not taken.
func (g *Gateway) admit(c *call) *refusal {
	if g.closing() {
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: "the entry is about to stop"}
	}
	catalog, known := g.Catalog()
	if !known {
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: "no configuration is known yet"}
	}
	path, _, _ := strings.Cut(string(c.ctx.Request.Header.RequestURI()), "?")
	if most := catalog.Limits.BodyBytes; most > 0 && len(c.ctx.Request.Body()) > most {
		return &refusal{status: fasthttp.StatusRequestEntityTooLarge, reason: "the body is too long"}
	}
	route, ok := catalog.Match(string(c.ctx.Request.Header.Host()), path)
	if !ok {
		return &refusal{status: fasthttp.StatusNotFound, reason: "no route matches"}
	}
	c.route = route
	if no := g.identify(c, catalog); no != nil {
		return no
	}
	c.service = route.Pick(rand.Float64())
	c.deadline = c.began.Add(limit(c.Timeout, route.Timeout))
	c.later = g.patience.Observe(route.Name, c.customer.Name, c.Timeout)
	return nil
}

// identify finds the customer that holds a request's key.
func (g *Gateway) identify(c *call, catalog railcatalog.Catalog) *refusal {
	if !catalog.NeedsKeys() {
		return nil
	}
	customer, ok := catalog.Customer(c.Key)
	c.customer = customer
	c.keyed = ok && !c.route.Public
	switch {
	case c.route.Public:
		return nil
	case g.ConfigAge() > g.MaxConfigAge:
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: "the store is out of reach, keys can't be checked"}
	case !ok:
		return &refusal{status: fasthttp.StatusUnauthorized, reason: "the key is unknown"}
	}
	return nil
}

// stillAllowed reports whether a request's key holds at this moment.
func (g *Gateway) stillAllowed(c *call) bool {
	if !c.keyed {
		return true
	}
	catalog, known := g.Catalog()
	if !known || g.ConfigAge() > g.MaxConfigAge {
		return false
	}
	_, ok := catalog.Customer(c.Key)
	return ok
}

// refuse answers a request that has not run.
func (g *Gateway) refuse(c *call, no *refusal) {
	c.ctx.Response.Reset()
	c.ctx.SetStatusCode(no.status)
	c.ctx.SetBodyString(no.reason + "\n")
	if no.status == fasthttp.StatusServiceUnavailable {
		after := railpatience.RetryAfter(c.Timeout, time.Since(c.began), rand.Float64())
		c.ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	if g.stopping.Load() {
		c.ctx.SetConnectionClose()
	}
	count(c, no.status)
	if no.status >= fasthttp.StatusInternalServerError {
		g.observe(c, false)
	}
	catalog, _ := g.Catalog()
	g.Log.With(no.inputs...).Info("request refused", "request", c.ID, "route", c.route.Name, "customer", c.customer.Name, "status", no.status,
		"reason", no.reason, "config", catalog.Version, "configAge", g.ConfigAge(), "listAge", g.EndpointListAge(), "deadline", c.Timeout, "later", c.later,
		"after", time.Since(c.began))
}

// inputs returns what decided that a request got no place, for the log.
func inputs(err error) []any {
	var denial *railadmitter.RejectionError
	if !errors.As(err, &denial) {
		return nil
	}
	return []any{"serving", denial.Eligible, "waiting", denial.Ahead, "expectedWait", denial.ExpectedWait}
}

// fail answers a request by what is known of whether it has run.
func (g *Gateway) fail(c *call, verdict railverdict.Verdict, err error) {
	no := &refusal{status: fasthttp.StatusBadGateway, reason: "the endpoint did not answer"}
	switch {
	case verdict == railverdict.NotRun:
		no = &refusal{status: fasthttp.StatusServiceUnavailable, reason: "the request has not run: " + errors.UnwrapAll(err).Error(), inputs: inputs(err)}
	case errors.Is(c.work.Err(), context.DeadlineExceeded):
		no = &refusal{status: fasthttp.StatusGatewayTimeout, reason: "the time is up, and the request may have run"}
	}
	g.refuse(c, no)
}

// logAnswer logs an answer that was passed on whole, with what decided on its way: each one that was late, and a sample of the others.
func (g *Gateway) logAnswer(c *call, a *attempt) {
	g.observe(c, a.exchange.Header.StatusCode() < fasthttp.StatusInternalServerError)
	late := c.first > c.route.Target || c.route.TargetGap > 0 && c.gap > c.route.TargetGap
	leftOut := 0
	if !late && !g.Log.Enabled(c.work, slog.LevelDebug) {
		var ok bool
		if leftOut, ok = g.onTime.Take(); !ok {
			return
		}
	}
	lease := a.lease
	g.Log.Info("request answered", "request", c.ID, "route", c.route.Name, "customer", c.customer.Name,
		"endpoint", lease.Instance.ID, "zone", lease.Instance.Zone, "row", lease.Instance.RowVersion, "held", c.held, "predicted", lease.PredictedDelay,
		"first", c.first, "gap", c.gap, "running", lease.Load.Running, "unread", lease.Load.PendingPrefill, "prompt", c.PromptTokens, "deadline", c.Timeout, "later", c.later, "after", time.Since(c.began), "late", late, "leftOut", leftOut)
}

// count counts a request that has ended with a status.
func count(c *call, status int) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`fulmarrail_gateway_requests_total{service=%q,customer=%q,status="%d"}`, c.service, c.customer.Name, status)).Inc()
}

// limit returns the shorter of two times of which 0 means that there is none.
func limit(a, b time.Duration) time.Duration {
	switch {
	case a <= 0:
		return b
	case b <= 0:
		return a
	}
	return min(a, b)
}
