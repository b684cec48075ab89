package railgateway

import (
	"cmp"
	"context"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
)

const (
	// endAnswered means that the caller got the complete response of an endpoint.
	endAnswered ending = "answered"
	// endRefused means that the entry responded, and that the request has not run.
	endRefused ending = "refused"
	// endUnknown means that the entry responded, and that the request may have run.
	endUnknown ending = "unknown"
	// endBroken means that a response had begun that nobody could complete, so that the connection was reset.
	endBroken ending = "broken"
	// endCallerLeft means that the caller disconnected.
	endCallerLeft ending = "callerLeft"
)

const (
	// causeNone means that the request ended by itself: by a response, a refusal or a failed attempt.
	causeNone     endCause = "none"
	causeCaller   endCause = "caller"
	causeDeadline endCause = "deadline"
	causeStop     endCause = "stop"
)

var endCounters = newEndCounters()

// ending is how a request that was received in full has ended. Each such request ends in exactly one of these ways.
type ending string

// endCause is the event by which the entry ended a request's work. There is no other: a change of the configuration or of the list of endpoints, and
// a silent endpoint, only decide where a further attempt may run.
type endCause string

type endKey struct {
	ending ending
	cause  endCause
}

func newEndCounters() map[endKey]*metrics.Counter {
	counters := map[endKey]*metrics.Counter{}
	for _, e := range []ending{endAnswered, endRefused, endUnknown, endBroken, endCallerLeft} {
		for _, cause := range []endCause{causeNone, causeCaller, causeDeadline, causeStop} {
			counters[endKey{e, cause}] = metrics.GetOrCreateCounter(fmt.Sprintf(`fulmarrail_gateway_request_ends_total{ending=%q,cause=%q}`, e, cause))
		}
	}
	return counters
}

// begin sets the context in which the request runs and watches its caller's connection.
func (c *call) begin(parent context.Context) {
	ctx, cancel := context.WithCancelCause(parent)
	workCtx, stop := context.WithDeadline(ctx, c.deadline)
	c.workCtx, c.cancel = workCtx, func(cause error) {
		cancel(cause)
		stop()
	}
	c.stopWatch = func() {}
	if c.conn != nil {
		c.stopWatch = c.conn.Watch(func() { c.cancel(errCallerDisconnected) })
	}
}

// abortAtEnd resets the caller's connection if the request's work is ended before stop is called. Otherwise, a stream whose caller reads nothing would
// keep its place at its endpoint.
func (c *call) abortAtEnd() (stop func() bool) {
	if c.conn == nil {
		return func() bool { return false }
	}
	return context.AfterFunc(c.workCtx, c.conn.Abort)
}

// endCause returns why the request's work was ended, or causeNone if it was not.
func (c *call) endCause() endCause {
	switch {
	case c.callerDisconnected():
		return causeCaller
	case c.finished:
		return c.cause
	case c.workCtx == nil || c.workCtx.Err() == nil:
		return causeNone
	case errors.Is(context.Cause(c.workCtx), errStopping):
		return causeStop
	}
	return causeDeadline
}

// endingOf returns the ending of a request to which the entry responds with a status.
func endingOf(status int) ending {
	if status == fasthttp.StatusBadGateway || status == fasthttp.StatusGatewayTimeout {
		return endUnknown
	}
	return endRefused
}

// recordEnd counts how a request has ended. It returns that, or endCallerLeft if the caller has disconnected.
func (g *Gateway) recordEnd(c *call, e ending) ending {
	cause := c.endCause()
	if cause == causeCaller {
		e = endCallerLeft
	}
	endCounters[endKey{e, cause}].Inc()
	return e
}

// callerDisconnected reports whether the caller disconnected before the request ended.
func (c *call) callerDisconnected() bool {
	if c.finished || c.workCtx == nil {
		return c.disconnected
	}
	return errors.Is(context.Cause(c.workCtx), errCallerDisconnected)
}

// finish records the request's duration, releases its resources and removes it from the count in flight. Further calls have no effect.
func (g *Gateway) finish(c *call) {
	if c.finished {
		return
	}
	c.cause = c.endCause()
	c.disconnected, c.finished = c.cause == causeCaller, true
	defer g.inFlight.Add(-1)
	defer c.stopWatch()
	c.cancel(nil)
	metrics.GetOrCreateHistogram(fmt.Sprintf(`fulmarrail_gateway_request_seconds{service=%q}`, c.service)).UpdateDuration(c.start)
}

// rejectUnanswered responds to a request that no endpoint answered. The status depends on whether the request may have run.
func (g *Gateway) rejectUnanswered(c *call, verdict railverdict.Verdict, err error) {
	rejected := &rejection{status: fasthttp.StatusBadGateway, reason: "the endpoint did not answer"}
	switch cause := c.endCause(); {
	case isPanic(err):
		rejected = panicRejection(verdict)
	case verdict == railverdict.NotRun:
		rejected = &rejection{
			status: fasthttp.StatusServiceUnavailable, reason: "the request has not run: " + errors.UnwrapAll(err).Error(), logAttrs: rejectionAttrs(err),
			retryAfter: cmp.Or(quarantineTime(err), pauseTime(c, err)), quarantined: quarantineTime(err) > 0,
		}
	case cause == causeStop:
		rejected = &rejection{status: fasthttp.StatusGatewayTimeout, reason: "the entry stops, and the request may have run"}
	case cause == causeDeadline:
		rejected = &rejection{status: fasthttp.StatusGatewayTimeout, reason: "the time is up, and the request may have run"}
	}
	g.reject(c, rejected)
}
