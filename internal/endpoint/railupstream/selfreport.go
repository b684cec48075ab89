package railupstream

import (
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/request/railheader"
	"github.com/fulmarrail/fulmarrail/internal/request/railretryafter"
)

// report passes what the endpoint says of itself in a response to OnReport. incarnation is that of the engine, or empty if the response
// does not state it.
func (c *Client) report(h *fasthttp.ResponseHeader, incarnation string) {
	if c.OnReport == nil {
		return
	}
	said := railheader.SelfReport{Leaving: string(h.Peek(railendpoint.LeavingHeader)) == "1"}
	if value := string(h.Peek(fasthttp.HeaderRetryAfter)); value != "" && h.StatusCode() == fasthttp.StatusServiceUnavailable {
		pause, ok := railretryafter.Parse(value)
		if !ok {
			said.Malformed = append(said.Malformed, railheader.Header{Name: fasthttp.HeaderRetryAfter, Value: value})
		}
		said.Pause = pause
	}
	c.OnReport(incarnation, said)
}
