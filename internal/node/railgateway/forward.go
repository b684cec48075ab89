package railgateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/config/railroute"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railexchange"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/request/railenvelope"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/routing/railterms"
)

const (
	// maxSends bounds the endpoints that one request is offered to, refusals as not run included.
	maxSends = 5
	// streamSilence is the longest wait for a stream's next event before it is taken up elsewhere, and plainSilence the
	// number of times its target that a plain answer may take before it is asked for elsewhere.
	streamSilence = 1300 * time.Millisecond
	plainSilence  = 3
)

var (
	errRefused = errors.New("the endpoint has refused the request as not run")
	errGarbled = errors.New("the answer is not one to this request")
	errSilent  = errors.New("the endpoint is silent")
	errDue     = errors.New("the time for the endpoint's weights is over")
	errOwn     = errors.New("the endpoint failed")
	errRevoked = errors.New("the key is not valid any more")
	errSpent   = errors.New("no repeat is left")

	errMisdirected = errors.New("another endpoint or other weights are there")
	errNoService   = errors.New("the route's service is unknown")
)

// attempt is one request at one endpoint.
type attempt struct {
	lease    *railfleet.Lease
	exchange *railexchange.Exchange
	answer   railenvelope.Response
	cancel   context.CancelFunc
	events   *railexchange.Events
	first    railexchange.Event
	streamed bool
	body     []byte
}

// close ends an attempt and gives its place back.
func (a *attempt) close(outcome railfleet.Outcome) {
	a.cancel()
	if a.exchange != nil {
		a.exchange.Close()
	}
	a.lease.Done(outcome)
}

// forward takes a request to an endpoint and its answer to the caller.
func (g *Gateway) forward(c *call) {
	a, verdict, err := g.begin(c, nil)
	if err != nil {
		g.finish(c)
		g.fail(c, verdict, err)
		return
	}
	c.first = time.Since(c.began)
	if a.streamed {
		g.stream(c, a)
		return
	}
	a.close(railfleet.Answered)
	g.logAnswer(c, a)
	g.finish(c)
	copyHeader(c.ctx, a.exchange)
	c.ctx.SetBody(a.body)
	count(c, a.exchange.Header.StatusCode())
}

// begin makes attempts until one has begun to answer: a stream with its first event, any other answer whole. After is the
// stream that is taken up again, or nil.
func (g *Gateway) begin(c *call, after *progress) (*attempt, railverdict.Verdict, error) {
	verdict := railverdict.NotRun
	tried := map[string]bool{}
	if after != nil {
		tried = after.tried
	}
	budget := g.budget(c.service)
	budget.Deposit(g.RetryShare)
	ran := 0
	var last error
	for sends := 0; sends < maxSends; sends++ {
		if (sends > 0 || after != nil) && !budget.TryWithdraw() {
			return nil, verdict, errors.CombineErrors(last, errSpent)
		}
		lease, err := g.place(c, tried, verdict != railverdict.NotRun || after != nil)
		if err != nil {
			return nil, verdict, errors.CombineErrors(last, err)
		}
		c.held = time.Since(c.began)
		a, outcome, err := g.try(c, lease, after)
		g.logAttempt(c, lease, outcome, err)
		if err == nil {
			return a, railverdict.Ran, nil
		}
		last = err
		tried[lease.Instance.ID] = true
		verdict = max(verdict, min(outcome, railverdict.MayHaveRun))
		if outcome != railverdict.NotRun {
			ran++
		}
		if c.work.Err() != nil || !verdict.Retryable(c.route.Repeatable()) || ran >= max(c.route.Attempts, 1) {
			return nil, verdict, err
		}
	}
	return nil, verdict, last
}

// place waits for a place at an endpoint.
func (g *Gateway) place(c *call, tried map[string]bool, late bool) (*railfleet.Lease, error) {
	if !g.stillAllowed(c) {
		return nil, errRevoked
	}
	catalog, _ := g.Catalog()
	backend, ok := catalog.Backend(c.service)
	if !ok {
		return nil, errNoService
	}
	rank := c.route.Rank
	if c.customer.Rank != nil {
		rank = *c.customer.Rank
	}
	need := railfleet.Requirements{
		Backend: backend, PromptTokens: c.PromptTokens, AnswerTokens: c.OutputTokens, MaxEventGap: c.route.TargetGap, Tried: tried, ZoneOut: catalog.ZoneOut,
		RegionAllowed: func(region string) bool { return c.route.Allows(region) && c.customer.Allows(region) },
	}
	if backend.Engine != nil {
		need.MinVersion = g.MinVersion(backend.Engine.Model)
		version, left := g.NextMinVersion(backend.Engine.Model)
		need.DueVersion, need.DueAt = version, time.Now().Add(left)
	}
	try := railterms.FirstTry
	switch {
	case late:
		try = railterms.Failover
	case c.later && backend.IsEngine():
		try = railterms.ClientRetry
	}
	terms := railterms.Compute(try, c.route.Target, c.began, time.Now())
	need.StartWithin = terms.StartWithin
	return g.admitter(c.service).Acquire(c.work, need, rank, terms.GrantBy)
}

// try makes one attempt; its verdict is for this attempt alone.
func (g *Gateway) try(c *call, lease *railfleet.Lease, after *progress) (*attempt, railverdict.Verdict, error) {
	ctx, cancel := context.WithCancelCause(c.work)
	a := &attempt{lease: lease, cancel: func() { cancel(nil) }}
	limit, reason := g.silence(c), errSilent
	if left := time.Until(lease.StartBy); !lease.StartBy.IsZero() && left < limit {
		limit, reason = left, errDue
	}
	silence := time.AfterFunc(limit, func() { cancel(reason) })
	defer silence.Stop()
	req := g.request(c, lease, after)
	exchange, verdict, err := railexchange.Start(ctx, lease.Instance.Address, req)
	fasthttp.ReleaseRequest(req)
	a.exchange = exchange
	if err == nil {
		a.answer = g.Translator.ParseResponse(&exchange.Header)
		verdict, err = g.read(c, a)
	}
	if err == nil {
		return a, verdict, nil
	}
	if ctx.Err() != nil && c.work.Err() == nil {
		err = errors.Mark(err, context.Cause(ctx))
	}
	a.close(blame(c, err))
	return nil, verdict, err
}

// read takes an answer up: a stream to its first event, any other whole.
func (g *Gateway) read(c *call, a *attempt) (railverdict.Verdict, error) {
	header := &a.exchange.Header
	switch status := header.StatusCode(); {
	case a.answer.RequestID != "" && a.answer.RequestID != c.ID, a.answer.ContentEncoded:
		return railverdict.MayHaveRun, errGarbled
	case a.answer.NotRun:
		if status == fasthttp.StatusMisdirectedRequest {
			return railverdict.NotRun, errors.Mark(errRefused, errMisdirected)
		}
		return railverdict.NotRun, errRefused
	case status < fasthttp.StatusMultipleChoices && !a.answer.Sealed:
		return railverdict.MayHaveRun, errGarbled
	case status >= fasthttp.StatusInternalServerError && c.route.Kind == railroute.Safe && c.route.Attempts > 1 && !c.repeated:
		c.repeated = true
		return railverdict.MayHaveRun, errOwn
	}
	if c.route.Kind == railroute.Streaming && header.StatusCode() < fasthttp.StatusMultipleChoices {
		return a.readFirst()
	}
	body, err := readAll(a.exchange)
	a.body = body
	if err != nil {
		return railverdict.MayHaveRun, err
	}
	a.lease.Started()
	return railverdict.Ran, nil
}

func (a *attempt) readFirst() (railverdict.Verdict, error) {
	a.streamed = true
	a.events = railexchange.NewEvents(a.exchange)
	var err error
	if a.first, err = a.events.Next(); err != nil {
		return railverdict.MayHaveRun, errors.Mark(err, railexchange.ErrTruncated)
	}
	a.lease.Started()
	return railverdict.Ran, nil
}

// request returns the request for one endpoint; it is to be released.
func (g *Gateway) request(c *call, lease *railfleet.Lease, after *progress) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	c.sent.CopyTo(req)
	out := railenvelope.Attempt{Instance: lease.Instance.ID, Customer: c.customer.Name, Timeout: time.Until(c.deadline)}
	if lease.Instance.WeightsVersion > 0 {
		out.Version = lease.Instance.WeightsVersion
	}
	if after != nil {
		out.LastEventID = after.lastID
	}
	g.Translator.WriteAttempt(&req.Header, out)
	req.Header.SetConnectionClose()
	return req
}

// silence returns the longest time to wait for an answer to begin before it may be asked for elsewhere.
func (g *Gateway) silence(c *call) time.Duration {
	left := time.Until(c.deadline)
	switch {
	case !c.route.Repeatable() || c.route.Attempts < 2:
		return left
	case c.route.Kind == railroute.Streaming:
		return min(max(streamSilence, 2*c.route.Target), left)
	}
	return min(plainSilence*c.route.Target, left)
}

// blame says what a failed attempt tells of its endpoint.
func blame(c *call, err error) railfleet.Outcome {
	switch {
	case errors.Is(err, errMisdirected):
		return railfleet.Misdirected
	case errors.Is(err, errRefused):
		return railfleet.Refused
	case errors.Is(err, errOwn), errors.Is(err, errDue), c.work.Err() != nil && errors.Is(c.work.Err(), context.Canceled):
		return railfleet.Answered
	}
	return railfleet.Failed
}

func (g *Gateway) logAttempt(c *call, lease *railfleet.Lease, verdict railverdict.Verdict, err error) {
	if err == nil {
		return
	}
	g.Log.Info("attempt failed", "request", c.ID, "endpoint", lease.Instance.ID, "zone", lease.Instance.Zone,
		"row", lease.Instance.RowVersion, "verdict", verdict, "err", err, "after", time.Since(c.began))
}
