package railgateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/config/railroute"
	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railexchange"
	"github.com/fulmarrail/fulmarrail/internal/limit/railquarantine"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/request/railheader"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

const (
	// streamIdleTimeout is the longest wait for a stream's next event before another endpoint is sought that can resume the stream.
	streamIdleTimeout = 1300 * time.Millisecond
	// plainTimeoutFactor is the multiple of the route's target latency that a response other than a stream may take before the
	// request is sent to another endpoint too.
	plainTimeoutFactor = 3
)

// errSlowRefusal means that an endpoint has begun to refuse a request, and has not completed its response in time.
var errSlowRefusal = errors.New("the endpoint's refusal is not complete in time")

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
	defer a.lease.Done(outcome)
	defer a.pass.Release()
	a.cancel(nil)
	if a.exchange != nil {
		a.exchange.Close()
	}
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
	settled := false
	defer func() {
		if !settled {
			a.abandon(watch)
		}
	}()
	watch.wait(lastEventID)
	verdict, err := g.exchange(c, a, lastEventID)
	var successor *attempt
	if err == nil {
		successor = watch.wentOn()
	}
	if err == nil && successor == nil {
		settled = true
		return a, nil
	}
	g.fail(c, a, verdict, err)
	if successor == nil {
		successor = watch.failed()
	}
	settled = true
	if successor != nil {
		return successor, nil
	}
	return nil, err
}

// watchSilence returns a watch that looks for an attempt to take over from another.
func (g *Gateway) watchSilence(ctx context.Context, c *call, a *attempt, patience time.Duration) *silenceWatch {
	return &silenceWatch{
		ctx: ctx, patience: patience, giveUp: func() { a.cancel(errReplaced) },
		search: func(ctx context.Context, lastEventID string) (found *attempt, err error) {
			defer func() {
				if p := railpanic.Recovered(recover(), g.Log, unitSearch, "request", c.ID); p != nil {
					found.closeUnless(false)
					found, err = nil, p
				}
			}()
			a.lease.Silent()
			if c.tries.count() >= maxTotalAttempts {
				return nil, errTooManyAttempts
			}
			found, err = g.dispatch(ctx, c, lastEventID)
			if err == nil {
				if err = found.checkSuccessor(lastEventID); err != nil {
					g.fail(c, found, railverdict.MayHaveRun, err)
				}
			}
			g.Log.Info("silent endpoint", "request", c.ID, "endpoint", a.lease.Instance.ID, "lastEvent", lastEventID, "search", err, "after", time.Since(c.start))
			return found, err
		},
	}
}

// checkSuccessor returns an error if an attempt can't take over from a silent one, whose endpoint may still give a better response.
func (a *attempt) checkSuccessor(lastEventID string) error {
	switch {
	case lastEventID != "" && !a.continues(lastEventID):
		return errEventGap
	case a.exchange.Header.StatusCode() >= fasthttp.StatusInternalServerError:
		return errServerError
	}
	return nil
}

// exchange sends the request and reads the response: a stream up to its first event, any other in full. The verdict covers this attempt only.
func (g *Gateway) exchange(c *call, a *attempt, lastEventID string) (verdict railverdict.Verdict, err error) {
	sent := railverdict.NotRun
	defer func() {
		if p := railpanic.Recovered(recover(), g.Log, unitAttempt, "request", c.ID, "endpoint", a.lease.Instance.ID); p != nil {
			verdict, err = sent, p
		}
	}()
	req := g.newRequest(c, a.lease, lastEventID)
	sent = railverdict.MayHaveRun
	exchange, verdict, err := railexchange.Start(a.ctx, a.lease.Instance.Address, req)
	a.exchange = exchange
	if err != nil {
		return verdict, a.markCause(c, err)
	}
	a.responseInfo = g.Translator.ParseResponse(&exchange.Header)
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
	return errors.IsAny(err, errWrongResponse, errServerError, errRejected, errUnprovenRefusal, errEventGap) || isPanic(err)
}

// readResponse checks a response's header, and reads a stream up to its first event and any other response completely. What the header says of the
// request or the endpoint counts only after that, since a response that breaks off is none.
func (g *Gateway) readResponse(c *call, a *attempt) (railverdict.Verdict, error) {
	verdict, refusal := checkHeader(c, a)
	if errors.Is(refusal, errWrongResponse) {
		return verdict, refusal
	}
	isStream := c.route.Kind == railroute.KindStreaming && a.exchange.Header.StatusCode() < fasthttp.StatusMultipleChoices
	var err error
	switch {
	case refusal != nil:
		err = g.readRefusal(a)
	case isStream:
		err = a.readFirstEvent()
	default:
		err = g.readBody(c, a)
	}
	if err != nil {
		return railverdict.MayHaveRun, err
	}
	g.recordSelfReport(c, a)
	if refusal != nil {
		return verdict, refusal
	}
	a.lease.Started()
	if !isStream {
		a.recordSuccess()
	}
	return railverdict.Ran, nil
}

// readRefusal reads the body of a response that its caller does not get. It must be complete within railexchange.RefusalTimeout.
func (g *Gateway) readRefusal(a *attempt) error {
	limit := time.AfterFunc(railexchange.RefusalTimeout, func() { a.cancel(errSlowRefusal) })
	defer limit.Stop()
	_, err := a.exchange.ReadAll(maxResponseBytes, &g.responseMemory)
	return err
}

// readBody reads the body of a response that is not a stream.
func (g *Gateway) readBody(c *call, a *attempt) error {
	body, err := a.exchange.ReadAll(maxResponseBytes, &g.responseMemory)
	a.body = body
	if err == nil && a.endedWithEngine(c) {
		err = railexchange.ErrTruncated
	}
	return err
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

func (a *attempt) readFirstEvent() (err error) {
	a.isStream = true
	a.events = railexchange.NewEvents(a.exchange)
	if a.firstEvent, err = a.events.Next(); err != nil {
		return errors.Mark(err, railexchange.ErrTruncated)
	}
	return nil
}

// newRequest returns the request to send to a lease's endpoint. All attempts share the caller's body.
func (g *Gateway) newRequest(c *call, lease *railfleet.Lease, lastEventID string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	c.upstream.CopyTo(&req.Header)
	req.SetBodyRaw(c.body)
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

// leaseOutcome returns the outcome to report for the endpoint of a failed attempt. Disconnected callers, expired weights, server
// errors and this entry's own panics do not count as failures of the endpoint.
func leaseOutcome(c *call, err error) railfleet.Outcome {
	switch {
	case errors.Is(err, errMisdirected):
		return railfleet.Misdirected
	case errors.Is(err, errRejected):
		return railfleet.Rejected
	case isPanic(err), errors.IsAny(err, errServerError, errWeightsExpired, errNotNeeded, errCallerDisconnected), errors.Is(c.workCtx.Err(), context.Canceled):
		return railfleet.Answered
	}
	return railfleet.Failed
}

func (g *Gateway) logFailedAttempt(c *call, lease *railfleet.Lease, verdict railverdict.Verdict, err error) {
	g.Log.Info("attempt failed", "request", c.ID, "endpoint", lease.Instance.ID, "zone", lease.Instance.Zone,
		"row", railversion.String(lease.Instance.RowVersion), "weights", lease.Instance.WeightsVersion, "noticeAge", lease.NoticeAge, "startWithin", lease.StartWithin(), "verdict", verdict, "parts", c.SharedParts, "err", err, "after", time.Since(c.start))
}
