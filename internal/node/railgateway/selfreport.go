package railgateway

import (
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/request/railheader"
	"github.com/fulmarrail/fulmarrail/internal/request/railretrydetector"
	"github.com/fulmarrail/fulmarrail/internal/routing/railadmitter"
)

// malformedLogsPerSecond is the number of malformed headers that are logged each second.
const malformedLogsPerSecond = 1

var malformedHeaders = metrics.GetOrCreateCounter("fulmarrail_gateway_malformed_headers_total")

// recordSelfReport records what an endpoint has said of itself in its response to an attempt.
func (g *Gateway) recordSelfReport(c *call, a *attempt) {
	said := a.responseInfo.SelfReport
	if said.Leaving {
		a.lease.RecordLeaving()
	}
	if said.Pause > 0 {
		a.lease.RecordPause(said.Pause)
	}
	if a.answersRequest(c) {
		a.recordLimit(said)
	}
	for _, h := range said.Malformed {
		malformedHeaders.Inc()
		if suppressed, ok := g.malformedSampler.Allow(); ok {
			g.Log.Warn("malformed header ignored", "endpoint", a.lease.Instance.ID, "header", h.Name, "value", h.Value, "leftOut", suppressed)
		}
	}
}

// recordLimit records the limit that an endpoint has named in its response, or that it has named none. A malformed limit changes nothing.
func (a *attempt) recordLimit(said railheader.SelfReport) {
	switch {
	case said.Limited:
		a.lease.RecordLimit(said.Limit)
	case said.Unlimited:
		a.lease.RecordNoLimit()
	}
}

// answersRequest reports whether a response is one of the attempt's endpoint to its request. Another endpoint may be there, or the response to
// another request may come late.
func (a *attempt) answersRequest(c *call) bool {
	id := a.responseInfo.RequestID
	return (id == "" || id == c.ID) && a.exchange.Header.StatusCode() != fasthttp.StatusMisdirectedRequest
}

// pauseTime returns the time after which the caller of a request that was rejected because all endpoints ask for no requests may retry, or 0
// for any other error.
func pauseTime(c *call, err error) time.Duration {
	var rejectionErr *railadmitter.RejectionError
	if !errors.As(err, &rejectionErr) || rejectionErr.PauseRemaining == 0 {
		return 0
	}
	return railretrydetector.RetryAfterPause(rejectionErr.PauseRemaining, c.Timeout, time.Since(c.start), rand.Float64())
}
