package railfront

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/limit/railquarantine"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/routing/raildispatcher"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	retryAfterSeconds = "1"
	// maxPauseJitter spreads the retries of callers after a pause of all endpoints.
	maxPauseJitter = time.Second
)

// rejectUnanswered responds to a request that has no complete response. The status depends on whether the request may have run.
func rejectUnanswered(ctx *fasthttp.RequestCtx, r result) {
	status := fasthttp.StatusBadGateway
	switch {
	case r.verdict == railverdict.NotRun && r.finalFrame.GetReason() == railproto.Reason_REASON_KEY_REUSED:
		status = fasthttp.StatusUnprocessableEntity
	case r.verdict == railverdict.NotRun:
		status = fasthttp.StatusServiceUnavailable
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter(r))
	case errors.Is(r.err, context.DeadlineExceeded), errors.Is(r.err, errStopping):
		status = fasthttp.StatusGatewayTimeout
	}
	reject(ctx, status, r.verdict, failureReason(r))
}

// retryAfter returns the number of seconds after which the caller of a rejected request may retry: the rest of a quarantine or of a pause of
// all endpoints, the time until keys can be claimed again, or a fixed time.
func retryAfter(r result) string {
	var quarantined *railquarantine.QuarantinedError
	var paused *raildispatcher.PausedError
	switch {
	case errors.As(r.err, &quarantined):
		return wholeSeconds(quarantined.Remaining)
	case errors.As(r.err, &paused):
		return wholeSeconds(paused.Remaining + rand.N(maxPauseJitter))
	case r.finalFrame.GetRetryAfterMillis() > 0:
		return wholeSeconds(time.Duration(r.finalFrame.GetRetryAfterMillis())*time.Millisecond + rand.N(maxPauseJitter))
	}
	return retryAfterSeconds
}

// wholeSeconds returns a duration in seconds, rounded up.
func wholeSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// RejectUnreadable responds to a request that could not be read, and so has not run.
func (f *Front) RejectUnreadable(ctx *fasthttp.RequestCtx, status int, reason string) {
	if status == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds)
	}
	reject(ctx, status, railverdict.NotRun, reason)
}

func reject(ctx *fasthttp.RequestCtx, status int, verdict railverdict.Verdict, reason string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(headerVerdict, verdict.String())
	body, err := json.Marshal(map[string]string{"verdict": verdict.String(), "reason": reason})
	if err != nil {
		return
	}
	ctx.SetBody(body)
}

func setOutcomeHeaders(ctx *fasthttp.RequestCtx, verdict railverdict.Verdict, end endpointFrame) {
	ctx.Response.Header.Set(headerVerdict, verdict.String())
	ctx.Response.Header.Set(headerEndpoint, end.endpoint)
}

func failureReason(r result) string {
	if r.err != nil {
		return r.err.Error()
	}
	return r.finalFrame.GetReason().String()
}
