package railengine

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
)

// selfReport is what the engine says of itself in its responses.
type selfReport struct {
	leaving     bool
	pausedUntil time.Time
	// limit is the value of the header that names how many requests the engine takes, or empty.
	limit string
}

// SetLeaving makes the engine say in all its responses that it is leaving. It still serves requests.
func (e *Engine) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.selfReport.leaving = true
}

// SetLimit makes the engine name in all its responses how many requests per second it takes, or no more if the value is empty. It still serves
// all requests.
func (e *Engine) SetLimit(value string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.selfReport.limit = value
}

// Pause makes the engine turn requests away for some time, and say for how long in each such response.
func (e *Engine) Pause(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.selfReport.pausedUntil = time.Now().Add(d)
}

// rejectWhilePaused turns a request away if the engine is paused.
func (e *Engine) rejectWhilePaused(ctx *fasthttp.RequestCtx) bool {
	e.mu.Lock()
	remaining := time.Until(e.selfReport.pausedUntil)
	e.mu.Unlock()
	if remaining <= 0 {
		return false
	}
	ctx.Error("paused", fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(remaining.Seconds(), 'f', 3, 64))
	return true
}

// writeSelfReport sets the headers in which the engine says that it is leaving, and how many requests it takes.
func (e *Engine) writeSelfReport(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.selfReport.leaving {
		ctx.Response.Header.Set(railendpoint.LeavingHeader, "1")
	}
	if e.selfReport.limit != "" {
		ctx.Response.Header.Set(railendpoint.LimitHeader, e.selfReport.limit)
	}
}
