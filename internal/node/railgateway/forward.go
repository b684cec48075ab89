package railgateway

import (
	"cmp"
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
)

const (
	// maxTotalAttempts bounds the attempts for one request, including those that endpoints reject as not run. A route's MaxAttempts
	// bounds only the attempts that may have run.
	maxTotalAttempts = 5
	// streamIdleTimeout is the longest wait for a stream's next event before another endpoint is sought that can resume the stream.
	streamIdleTimeout = 1300 * time.Millisecond
	// plainTimeoutFactor is the multiple of the route's target latency that a response other than a stream may take before the
	// request is sent to another endpoint too.
	plainTimeoutFactor = 3
)

var (
	errRejected        = errors.New("the endpoint has refused the request as not run")
	errWrongResponse   = errors.New("the answer is not one to this request")
	errUnprovenRefusal = errors.New("the endpoint has refused the request without proof that it was not run")
	errWeightsExpired  = errors.New("the time for the endpoint's weights is over")
	errServerError     = errors.New("the endpoint failed")
	errKeyInvalid      = errors.New("the key is not valid any more")
	errBudgetExhausted = errors.New("no repeat is left")
	errTooManyAttempts = errors.New("the route allows no further endpoint")
	errReplaced        = errors.New("the endpoint is silent, and another one has gone on")
	errNotNeeded       = errors.New("the silent endpoint has gone on")

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
	// ctx is canceled with the reason for which the entry ends the attempt.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// sentAt is the time at which the request was sent.
	sentAt     time.Time
	events     *railexchange.Events
	firstEvent railexchange.Event
	isStream   bool
	body       []byte
}

// close ends the attempt and releases its lease.
func (a *attempt) close(outcome railfleet.Outcome) {
	a.cancel(nil)
	if a.exchange != nil {
		a.exchange.Close()
	}
	a.pass.Release()
	a.lease.Done(outcome)
}

// forward sends a request to an endpoint and its response to the caller.
func (g *Gateway) forward(c *call) {
	g.budget(c.service).Deposit(g.RetryShare)
	a, err := g.dispatch(c.workCtx, c, "")
	if err != nil {
		verdict := c.tries.sumVerdict()
		g.finish(c)
		g.rejectUnanswered(c, verdict, err)
		return
	}
	c.sendDelay, c.firstDelay = a.sentAt.Sub(c.start), time.Since(c.start)
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

// dispatch makes attempts until one returns a response: the first event of a stream, or any other response in full. lastEventID
// is that of the stream to resume, or empty for a new request.
func (g *Gateway) dispatch(ctx context.Context, c *call, lastEventID string) (*attempt, error) {
	var lastErr error
	for range maxTotalAttempts {
		if !c.tries.allowAnother(ctx, c.route) {
			return nil, cmp.Or[error](lastErr, errTooManyAttempts)
		}
		a, err := g.admitWithinBudget(ctx, c)
		if quarantineTime(err) > 0 {
			return nil, err
		}
		if err != nil {
			return nil, errors.CombineErrors(lastErr, err)
		}
		a, err = g.runAttempt(ctx, c, a, lastEventID)
		if err == nil {
			return a, nil
		}
		lastErr = err
		if ctx.Err() != nil {
			return nil, err
		}
	}
	return nil, lastErr
}

// admitWithinBudget is admitAttempt, which takes a retry from the budget for each attempt but the first.
func (g *Gateway) admitWithinBudget(ctx context.Context, c *call) (*attempt, error) {
	if !c.tries.any() {
		return g.admitAttempt(ctx, c, false)
	}
	budget := g.budget(c.service)
	if !budget.TryWithdraw() {
		return nil, errBudgetExhausted
	}
	a, err := g.admitAttempt(ctx, c, true)
	if err != nil {
		budget.Return()
	}
	return a, err
}

// admitAttempt waits until a request may run at an endpoint, and returns an attempt with its lease and its pass. It returns an error if the
// request's key is no longer valid, its service is unknown, its prompt has quarantined parts, or no lease is granted in time.
func (g *Gateway) admitAttempt(ctx context.Context, c *call, isRetry bool) (*attempt, error) {
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
		Backend: backend, PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens, MaxEventGap: c.route.MaxEventGap, Tried: c.tries.tried(), Refresh: g.refresh,
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
	return g.acquireLease(ctx, c, requirements, rank, deadlines.GrantBy)
}

// acquireLease waits until a request may run with the parts of its prompt and an endpoint has room for it.
func (g *Gateway) acquireLease(ctx context.Context, c *call, requirements railfleet.Requirements, rank int, grantBy time.Time) (*attempt, error) {
	for {
		pass, err := g.Quarantine.Enter(ctx, c.quarantineParts(), grantBy)
		if err != nil {
			return nil, err
		}
		requirements.IsolationKey = pass.IsolationKey()
		lease, err := g.admitter(c.service).Acquire(ctx, requirements, rank, grantBy)
		if err != nil {
			pass.Release()
			return nil, err
		}
		if g.drainState.ctx.Err() != nil {
			pass.Release()
			lease.Done(railfleet.Answered)
			return nil, errStopping // Another request has just been canceled, which this one must not follow.
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

// runAttempt makes one attempt, and others while its endpoint is silent. It returns the first that goes on.
func (g *Gateway) runAttempt(parent context.Context, c *call, a *attempt, lastEventID string) (*attempt, error) {
	ctx, cancel := context.WithCancelCause(parent)
	a.ctx, a.cancel, a.sentAt = ctx, cancel, time.Now()
	c.tries.begin(a.lease.Instance)
	if !a.lease.StartBy.IsZero() {
		expiry := time.AfterFunc(time.Until(a.lease.StartBy), func() { cancel(errWeightsExpired) })
		defer expiry.Stop()
	}
	watch := g.watchSilence(parent, c, a, startPatience(c))
	watch.wait(lastEventID)
	verdict, err := g.exchange(c, a, lastEventID)
	var successor *attempt
	if err == nil {
		successor = watch.wentOn()
	}
	if err == nil && successor == nil {
		return a, nil
	}
	g.fail(c, a, verdict, err)
	if successor == nil {
		successor = watch.failed()
	}
	if successor != nil {
		return successor, nil
	}
	return nil, err
}

// watchSilence returns a watch that looks for an attempt to take over from another.
func (g *Gateway) watchSilence(ctx context.Context, c *call, a *attempt, patience time.Duration) *silenceWatch {
	return &silenceWatch{
		ctx: ctx, patience: patience, silent: a.lease.Silent, giveUp: func() { a.cancel(errReplaced) },
		search: func(ctx context.Context, lastEventID string) (*attempt, error) {
			found, err := g.dispatch(ctx, c, lastEventID)
			if err == nil && lastEventID != "" && !found.continues(lastEventID) {
				g.fail(c, found, railverdict.MayHaveRun, errEventGap)
				err = errEventGap
			}
			g.Log.Info("silent endpoint", "request", c.ID, "endpoint", a.lease.Instance.ID, "lastEvent", lastEventID, "search", err, "after", time.Since(c.start))
			return found, err
		},
	}
}

// exchange sends the request and reads the response: a stream up to its first event, any other in full. The verdict covers this attempt only.
func (g *Gateway) exchange(c *call, a *attempt, lastEventID string) (railverdict.Verdict, error) {
	req := g.newRequest(c, a.lease, lastEventID)
	exchange, verdict, err := railexchange.Start(a.ctx, a.lease.Instance.Address, req)
	fasthttp.ReleaseRequest(req)
	a.exchange = exchange
	if err != nil {
		return verdict, a.markCause(c, err)
	}
	a.responseInfo = g.Translator.ParseResponse(&exchange.Header)
	g.recordSelfReport(a)
	verdict, err = g.readResponse(c, a)
	return verdict, a.markCause(c, err)
}

// markCause marks the error of an attempt that the entry has canceled with the reason.
func (a *attempt) markCause(c *call, err error) error {
	if err != nil && a.ctx.Err() != nil && c.workCtx.Err() == nil {
		return errors.Mark(err, context.Cause(a.ctx))
	}
	return err
}

// fail closes an attempt that is of no use, and records why.
func (g *Gateway) fail(c *call, a *attempt, verdict railverdict.Verdict, err error) {
	if err == nil {
		err = errReplaced
	}
	if a.ctx.Err() == nil && verdict == railverdict.MayHaveRun && !isAnswer(err) {
		a.checkEngine(c)
	}
	c.tries.fail(a.lease.Instance, verdict)
	a.close(leaseOutcome(c, err))
	g.logFailedAttempt(c, a.lease, verdict, err)
}

// isAnswer reports whether an attempt failed although the endpoint has answered.
func isAnswer(err error) bool {
	return errors.IsAny(err, errWrongResponse, errServerError, errRejected, errUnprovenRefusal, errEventGap)
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
	case status >= fasthttp.StatusInternalServerError && c.route.Kind == railroute.KindSafe && c.route.MaxAttempts > 1 && c.tries.takeServerErrorRetry():
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
func (g *Gateway) newRequest(c *call, lease *railfleet.Lease, lastEventID string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	c.upstream.CopyTo(req)
	params := railheader.Attempt{Instance: lease.Instance.ID, Customer: c.customer.Name, Timeout: time.Until(g.drainState.limit(c.deadline))}
	if lease.Instance.WeightsVersion > 0 {
		params.WeightsVersion = lease.Instance.WeightsVersion
	}
	params.LastEventID = lastEventID
	g.Translator.WriteAttempt(&req.Header, params)
	req.Header.SetConnectionClose()
	return req
}

// startPatience returns the time for which a response may not start before another endpoint is sought, or 0 for no limit.
func startPatience(c *call) time.Duration {
	switch {
	case !c.route.Idempotent() || c.route.MaxAttempts < 2:
		return 0
	case c.route.Kind == railroute.KindStreaming:
		return max(streamIdleTimeout, 2*c.route.TargetLatency)
	}
	return plainTimeoutFactor * c.route.TargetLatency
}

// leaseOutcome returns the outcome to report for the endpoint of a failed attempt. Disconnected callers, expired weights and server
// errors do not count as failures of the endpoint.
func leaseOutcome(c *call, err error) railfleet.Outcome {
	switch {
	case errors.Is(err, errMisdirected):
		return railfleet.Misdirected
	case errors.Is(err, errRejected):
		return railfleet.Rejected
	case errors.IsAny(err, errServerError, errWeightsExpired, errNotNeeded), errors.Is(c.workCtx.Err(), context.Canceled):
		return railfleet.Answered
	}
	return railfleet.Failed
}

func (g *Gateway) logFailedAttempt(c *call, lease *railfleet.Lease, verdict railverdict.Verdict, err error) {
	g.Log.Info("attempt failed", "request", c.ID, "endpoint", lease.Instance.ID, "zone", lease.Instance.Zone,
		"row", lease.Instance.RowVersion, "weights", lease.Instance.WeightsVersion, "startWithin", lease.StartWithin(), "verdict", verdict, "parts", c.SharedParts, "err", err, "after", time.Since(c.start))
}
