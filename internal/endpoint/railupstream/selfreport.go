package railupstream

import (
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/request/railheader"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequestrate"
	"github.com/fulmarrail/fulmarrail/internal/request/railretryafter"
)

// report passes what the endpoint says of itself in a response to OnReport and OnLimit. limit states which response it is.
func (c *Client) report(h *fasthttp.ResponseHeader, limit railendpoint.LimitReport) {
	lines := h.PeekAll(railendpoint.LimitHeader)
	var malformed []string
	limit.PerSecond, limit.Limited, malformed = railrequestrate.Parse(lines)
	if c.OnReport != nil {
		c.OnReport(limit.Incarnation, parseSelfReport(h, malformed))
	}
	if c.OnLimit != nil && (limit.Limited || len(lines) == 0) {
		c.OnLimit(limit)
	}
}

// parseSelfReport returns what the endpoint says of itself in a response, except for its limit, of which it gets the malformed values.
func parseSelfReport(h *fasthttp.ResponseHeader, malformedLimits []string) railheader.SelfReport {
	said := railheader.SelfReport{Leaving: string(h.Peek(railendpoint.LeavingHeader)) == "1"}
	for _, value := range malformedLimits {
		said.Malformed = append(said.Malformed, railheader.Header{Name: railendpoint.LimitHeader, Value: value})
	}
	value := string(h.Peek(fasthttp.HeaderRetryAfter))
	if value == "" || h.StatusCode() != fasthttp.StatusServiceUnavailable {
		return said
	}
	pause, ok := railretryafter.Parse(value)
	if !ok {
		said.Malformed = append(said.Malformed, railheader.Header{Name: fasthttp.HeaderRetryAfter, Value: value})
	}
	said.Pause = pause
	return said
}
