package railgateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/config/railroute"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railexchange"
	"github.com/fulmarrail/fulmarrail/internal/limit/railquarantine"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/request/railheader"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/routing/raildeadline"
	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

const (
	// maxTotalAttempts bounds the attempts for one request, including those that endpoints reject as not run. A route's MaxAttempts
	// bounds only the attempts that may have run.
	maxTotalAttempts = 5
	// streamIdleTimeout is the longest wait for a stream's next event before the stream is resumed at another endpoint.
	streamIdleTimeout = 1300 * time.Millisecond
	// plainTimeoutFactor is the multiple of the route's target latency that a response other than a stream may take before the
	// request is retried at another endpoint.
	plainTimeoutFactor = 3
)

var (
	errRejected        = errors.New("the endpoint has refused the request as not run")
	errWrongResponse   = errors.New("the answer is not one to this request")
	errStartTimeout    = errors.New("the endpoint is silent")
	errUnprovenRefusal = errors.New("the endpoint has refused the request without proof that it was not run")
	errWeightsExpired  = errors.New("the time for the endpoint's weights is over")
	errServerError     = errors.New("the endpoint failed")
	errKeyInvalid      = errors.New("the key is not valid any more")
	errBudgetExhausted = errors.New("no repeat is left")

	errMisdirected    = errors.New("another endpoint or other weights are there")
	errUnknownService = errors.New("the route's service is unknown")
)

// attempt is one attempt to run a request at an endpoint.
type attempt struct {
	lease *railfleet.Lease
	// pass is the permission to run a request with these parts of the prompt.
	pass         *railquarantine.Pass
	exchange     *railexchange.Exchange
	responseInfo railheader.Response
	cancel       context.CancelFunc
	events       *railexchange.Events
	firstEvent   railexchange.Event
	isStream     bool
	body         []byte
}

// close ends the attempt and releases its lease.
func (a *attempt) close(outcome railfleet.Outcome) {
	a.cancel()
	if a.exchange != nil {
		a.exchange.Close()
	}
	a.pass.Release()
	a.lease.Done(outcome)
}

// forward sends a request to an endpoint and its response to the caller.
func (g *Gateway) forward(c *call) {
	a, verdict, err := g.dispatch(c, nil)
	if err != nil {
		g.finish(c)
		g.rejectUnanswered(c, verdict, err)
		return
	}
	c.firstDelay = time.Since(c.start)
	if a.isStream {
		g.stream(c, a)
		return
	}
	a.close(railfleet.Answered)
	g.logResponse(c, a)
	g.finish(c)
	g.copyHeader(c.ctx, a.exchange)
	c.ctx.SetBody(a.body)
	countRequest(c, a.exchange.Header.StatusCode())
}

// dispatch makes attempts until one returns a response: the first event of a stream, or any other response in full. progress
// is that of the stream to resume, or nil for a new request. On an error, the verdict says whether the request may have run.
func (g *Gateway) dispatch(c *call, progress *streamProgress) (*attempt, railverdict.Verdict, error) {
	verdict := railverdict.NotRun
	tried := map[string]bool{}
	if progress != nil {
		tried = progress.tried
	}
	budget := g.budget(c.service)
	budget.Deposit(g.RetryShare)
	mayHaveRunCount := 0
	var lastErr error
	for attempts := 0; attempts < maxTotalAttempts; attempts++ {
		if (attempts > 0 || progress != nil) && !budget.TryWithdraw() {
			return nil, verdict, errors.CombineErrors(lastErr, errBudgetExhausted)
		}
		a, err := g.admitAttempt(c, tried, verdict != railverdict.NotRun || progress != nil)
		if quarantineTime(err) > 0 {
			return nil, verdict, err
		}
		if err != nil {
			return nil, verdict, errors.CombineErrors(lastErr, err)
		}
		c.sendDelay = time.Since(c.start)
		lease := a.lease
		outcome, err := g.runAttempt(c, a, progress)
		g.logFailedAttempt(c, lease, outcome, err)
		if err == nil {
			return a, railverdict.Ran, nil
		}
		lastErr = err
		tried[lease.Instance.ID] = true
		verdict = max(verdict, min(outcome, railverdict.MayHaveRun))
		if outcome != railverdict.NotRun {
			mayHaveRunCount++
		}
		if c.workCtx.Err() != nil || !verdict.Retryable(c.route.Idempotent()) || mayHaveRunCount >= max(c.route.MaxAttempts, 1) {
			return nil, verdict, err
		}
	}
	return nil, verdict, lastErr
}

// admitAttempt waits until a request may run at an endpoint, and returns an attempt with its lease and its pass. It returns an error if the
// request's key is no longer valid, its service is unknown, its prompt has quarantined parts, or no lease is granted in time.
func (g *Gateway) admitAttempt(c *call, tried map[string]bool, isRetry bool) (*attempt, error) {
	if !g.keyStillValid(c) {
		return nil, errKeyInvalid
	}
	catalog, _ := g.Catalog()
	backend, ok := catalog.Backend(c.service)
	if !ok {
		return nil, errUnknownService
	}
	rank := c.route.Rank
	if c.customer.Rank != nil {
		rank = *c.customer.Rank
	}
	requirements := railfleet.Requirements{
		Backend: backend, PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens, MaxEventGap: c.route.MaxEventGap, Tried: tried, Refresh: g.refresh,
		RegionAllowed: func(region string) bool { return c.route.AllowsRegion(region) && c.customer.AllowsRegion(region) },
	}
	g.refresh(&requirements)
	class := raildeadline.FirstTry
	switch {
	case isRetry:
		class = raildeadline.Failover
	case c.likelyRetry && backend.IsEngine():
		class = raildeadline.ClientRetry
	}
	deadlines := raildeadline.Compute(class, c.route.TargetLatency, c.start, time.Now())
	requirements.StartWithin = deadlines.StartWithin
	return g.acquireLease(c, requirements, rank, deadlines.GrantBy)
}

// acquireLease waits until a request may run with the parts of its prompt and an endpoint has room for it.
func (g *Gateway) acquireLease(c *call, requirements railfleet.Requirements, rank int, grantBy time.Time) (*attempt, error) {
	for {
		pass, err := g.Quarantine.Enter(c.workCtx, c.quarantineParts(), grantBy)
		if err != nil {
			return nil, err
		}
		requirements.IsolationKey = pass.IsolationKey()
		lease, err := g.admitter(c.service).Acquire(c.workCtx, requirements, rank, grantBy)
		if err != nil {
			pass.Release()
			return nil, err
		}
		if pass.Begin() {
			return &attempt{lease: lease, pass: pass}, nil
		}
		pass.Release()
		lease.Done(railfleet.Answered)
	}
}

// refresh sets the requirements that follow from the current configuration: the zones that are out of service, and the weights on which a
// response may start.
func (g *Gateway) refresh(requirements *railfleet.Requirements) {
	catalog, _ := g.Catalog()
	requirements.ZoneOut = catalog.ZoneOut
	engine := requirements.Backend.Engine
	if engine == nil {
		return
	}
	requirements.MinVersion = g.MinVersion(engine.Model)
	version, untilDue := g.NextMinVersion(engine.Model)
	requirements.DueVersion, requirements.DueAt = version, time.Now().Add(untilDue)
}

// runAttempt makes one attempt. The verdict covers this attempt only.
func (g *Gateway) runAttempt(c *call, a *attempt, progress *streamProgress) (railverdict.Verdict, error) {
	ctx, cancel := context.WithCancelCause(c.workCtx)
	lease := a.lease
	a.cancel = func() { cancel(nil) }
	timeout, cause := g.startTimeout(c), errStartTimeout
	if remaining := time.Until(lease.StartBy); !lease.StartBy.IsZero() && remaining < timeout {
		timeout, cause = remaining, errWeightsExpired
	}
	timer := time.AfterFunc(timeout, func() { cancel(cause) })
	defer timer.Stop()
	req := g.newRequest(c, lease, progress)
	exchange, verdict, err := railexchange.Start(ctx, lease.Instance.Address, req)
	fasthttp.ReleaseRequest(req)
	a.exchange = exchange
	if err == nil {
		a.responseInfo = g.Translator.ParseResponse(&exchange.Header)
		g.recordSelfReport(a)
		verdict, err = g.readResponse(c, a)
	}
	if err == nil {
		return verdict, nil
	}
	if ctx.Err() != nil && c.workCtx.Err() == nil {
		err = errors.Mark(err, context.Cause(ctx))
	}
	if ctx.Err() == nil && verdict == railverdict.MayHaveRun && !isAnswer(err) {
		a.checkEngine(c)
	}
	a.close(leaseOutcome(c, err))
	return verdict, err
}

// isAnswer reports whether an attempt failed although the endpoint has answered.
func isAnswer(err error) bool {
	return errors.IsAny(err, errWrongResponse, errServerError, errRejected, errUnprovenRefusal)
}

// readResponse checks a response's headers, and reads a stream up to its first event and any other response completely.
func (g *Gateway) readResponse(c *call, a *attempt) (railverdict.Verdict, error) {
	if verdict, err := checkHeader(c, a); err != nil {
		return verdict, err
	}
	if c.route.Kind == railroute.KindStreaming && a.exchange.Header.StatusCode() < fasthttp.StatusMultipleChoices {
		return a.readFirstEvent()
	}
	body, err := a.exchange.ReadAll(maxResponseBytes, &g.responseMemory)
	a.body = body
	if err == nil && a.endedWithEngine(c) {
		err = railexchange.ErrTruncated
	}
	if err != nil {
		return railverdict.MayHaveRun, err
	}
	a.lease.Started()
	a.recordSuccess()
	return railverdict.Ran, nil
}

// checkHeader returns an error unless a response's header is that of an answer to the request which its caller may get.
func checkHeader(c *call, a *attempt) (railverdict.Verdict, error) {
	switch status := a.exchange.Header.StatusCode(); {
	case a.responseInfo.RequestID != "" && a.responseInfo.RequestID != c.ID, a.responseInfo.ContentEncoded:
		return railverdict.MayHaveRun, errWrongResponse
	case a.responseInfo.NotRun:
		if status == fasthttp.StatusMisdirectedRequest {
			return railverdict.NotRun, errors.Mark(errRejected, errMisdirected)
		}
		return railverdict.NotRun, errRejected
	case promisesNotRun(status):
		return railverdict.MayHaveRun, errUnprovenRefusal
	case status < fasthttp.StatusMultipleChoices && !a.responseInfo.Sealed:
		return railverdict.MayHaveRun, errWrongResponse
	case status >= fasthttp.StatusInternalServerError && c.route.Kind == railroute.KindSafe && c.route.MaxAttempts > 1 && !c.retriedOnFailure:
		c.retriedOnFailure = true
		return railverdict.MayHaveRun, errServerError
	}
	return railverdict.Ran, nil
}

func (a *attempt) readFirstEvent() (railverdict.Verdict, error) {
	a.isStream = true
	a.events = railexchange.NewEvents(a.exchange)
	var err error
	if a.firstEvent, err = a.events.Next(); err != nil {
		return railverdict.MayHaveRun, errors.Mark(err, railexchange.ErrTruncated)
	}
	a.lease.Started()
	return railverdict.Ran, nil
}

// newRequest returns the request to send to a lease's endpoint. The caller must release it.
func (g *Gateway) newRequest(c *call, lease *railfleet.Lease, progress *streamProgress) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	c.upstream.CopyTo(req)
	params := railheader.Attempt{Instance: lease.Instance.ID, Customer: c.customer.Name, Timeout: time.Until(c.deadline)}
	if lease.Instance.WeightsVersion > 0 {
		params.WeightsVersion = lease.Instance.WeightsVersion
	}
	if progress != nil {
		params.LastEventID = progress.lastEventID
	}
	g.Translator.WriteAttempt(&req.Header, params)
	req.Header.SetConnectionClose()
	return req
}

// startTimeout returns the longest time to wait for a response to start. It is the time left until the deadline if the request can't
// be retried.
func (g *Gateway) startTimeout(c *call) time.Duration {
	remaining := time.Until(c.deadline)
	switch {
	case !c.route.Idempotent() || c.route.MaxAttempts < 2:
		return remaining
	case c.route.Kind == railroute.KindStreaming:
		return min(max(streamIdleTimeout, 2*c.route.TargetLatency), remaining)
	}
	return min(plainTimeoutFactor*c.route.TargetLatency, remaining)
}

// leaseOutcome returns the outcome to report for the endpoint of a failed attempt. Disconnected callers, expired weights and server
// errors do not count as failures of the endpoint.
func leaseOutcome(c *call, err error) railfleet.Outcome {
	switch {
	case errors.Is(err, errMisdirected):
		return railfleet.Misdirected
	case errors.Is(err, errRejected):
		return railfleet.Rejected
	case errors.Is(err, errServerError), errors.Is(err, errWeightsExpired), c.workCtx.Err() != nil && errors.Is(c.workCtx.Err(), context.Canceled):
		return railfleet.Answered
	}
	return railfleet.Failed
}

func (g *Gateway) logFailedAttempt(c *call, lease *railfleet.Lease, verdict railverdict.Verdict, err error) {
	if err == nil {
		return
	}
	g.Log.Info("attempt failed", "request", c.ID, "endpoint", lease.Instance.ID, "zone", lease.Instance.Zone,
		"row", railversion.String(lease.Instance.RowVersion), "weights", lease.Instance.WeightsVersion, "startWithin", lease.StartWithin(), "verdict", verdict, "parts", c.SharedParts, "err", err, "after", time.Since(c.start))
}
