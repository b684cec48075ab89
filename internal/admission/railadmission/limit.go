package railadmission

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/limit/railspacer"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// maxReportedOpening bounds the time until the next opening that entries are told, since an endpoint may take more requests at any time again.
const maxReportedOpening = time.Minute

var limitReports = metrics.GetOrCreateCounter(`fulmarrail_agent_endpoint_reports_total{report="limit"}`)

// rateLimit is the number of requests per second that an endpoint has said that it takes.
type rateLimit struct {
	perSecond float64
	limited   bool
}

// RecordLimit records what a response of the endpoint says of the number of requests that it takes.
func (c *Controller) RecordLimit(said railendpoint.LimitReport) {
	before, after := c.applyLimit(said)
	if before == after {
		return
	}
	if after.limited {
		limitReports.Inc()
		c.Log.Info("endpoint limits requests", "perSecond", after.perSecond, "before", before.perSecond)
	} else {
		c.Log.Info("endpoint limits requests no more", "before", before.perSecond)
	}
	c.processQueue()
}

// applyLimit adds to the engine's report what a response says of its limit. It returns the limit before and after that.
func (c *Controller) applyLimit(said railendpoint.LimitReport) (before, after rateLimit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.identifyEngine(said.Incarnation)
	before = c.rateLimit(now)
	switch {
	case said.Limited:
		c.controlNamesLimit = c.controlNamesLimit || said.Control
		c.engineReport = *c.engineReport.WithLimit(said.SentAt, now, said.PerSecond)
	case !said.Control || c.controlNamesLimit: // An endpoint may name its limit to callers only.
		c.engineReport = *c.engineReport.WithLimitEnd(said.SentAt)
	}
	after = c.rateLimit(now)
	switch {
	case after.limited && !before.limited:
		c.admissions, c.sends = railspacer.Spacer{}, railspacer.Spacer{} // What an earlier limit has put off is no matter of this one.
		c.admissions.RecordSent(now, after.perSecond)
		c.sends.RecordSent(now, after.perSecond)
	case after.limited:
		c.admissions.ChangeRate(now, before.perSecond, after.perSecond)
		c.sends.ChangeRate(now, before.perSecond, after.perSecond)
	}
	return before, after
}

// RecordResume records a request that resumes a stream. It reaches the endpoint at once, so the next request has to wait for longer.
func (c *Controller) RecordResume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if limit := c.rateLimit(now); limit.limited {
		c.admissions.RecordSent(now, limit.perSecond)
		c.sends.RecordSent(now, limit.perSecond)
	}
}

// AwaitSend waits until an admitted request may be sent to the endpoint, which is at once unless it was delayed since its admission. It reports
// false if that would be after the deadline of ctx, or ctx is done.
func (c *Controller) AwaitSend(ctx context.Context) bool {
	wait, ok := c.reserveSend(ctx)
	return ok && railtimer.Sleep(ctx, wait)
}

// reserveSend takes the next time at which the endpoint takes a request, and returns the time until then, or false if that is after the deadline
// of ctx.
func (c *Controller) reserveSend(ctx context.Context) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	limit := c.rateLimit(now)
	if !limit.limited {
		return 0, true
	}
	wait := max(c.sends.Opening(limit.perSecond).Sub(now), 0)
	if deadline, ok := ctx.Deadline(); ok && now.Add(wait).After(deadline) {
		return 0, false
	}
	c.sends.RecordSent(now, limit.perSecond)
	return wait, true
}

// Load returns the endpoint's load, and how long entries have to wait before it may get a further request.
func (c *Controller) Load() *railproto.Load {
	load := c.Limiter.Load()
	interval, wait := c.spacing(time.Now())
	load.IntervalMillis, load.OpeningMillis = ceilMillis(interval), ceilMillis(min(wait, maxReportedOpening))
	return load
}

// spacing returns the time between two requests that the endpoint takes, or 0 if it has no limit, and the time until its next opening.
func (c *Controller) spacing(now time.Time) (interval, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit := c.rateLimit(now); limit.limited {
		interval = railspacer.Interval(limit.perSecond)
	}
	return interval, c.openingWait(now)
}

func ceilMillis(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

// takeOpening reports whether the endpoint takes a request now, and records it.
func (c *Controller) takeOpening() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.openingWait(now) > 0 {
		return false
	}
	if limit := c.rateLimit(now); limit.limited {
		c.admissions.RecordSent(now, limit.perSecond)
	}
	return true
}

// opensInTime reports whether a request may still be admitted by waiting here.
func (c *Controller) opensInTime(req *railproto.ExecuteRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := c.openingWait(time.Now())
	timeout := time.Duration(req.GetTimeoutMillis()) * time.Millisecond
	return wait <= maxQueueWait && (timeout <= 0 || wait < timeout)
}

// openingWait returns the time until the endpoint's next opening, or 0. The caller must hold mu.
func (c *Controller) openingWait(now time.Time) time.Duration {
	limit := c.rateLimit(now)
	if !limit.limited {
		return 0
	}
	return max(c.admissions.Opening(limit.perSecond).Sub(now), 0)
}

// rateLimit returns the limit that holds now. The caller must hold mu.
func (c *Controller) rateLimit(now time.Time) rateLimit {
	perSecond, limited := c.engineReport.Limit(now)
	return rateLimit{perSecond: perSecond, limited: limited}
}

// wakeAtOpening processes the queue again at the endpoint's next opening. The caller must hold queueMu.
func (c *Controller) wakeAtOpening() {
	c.mu.Lock()
	wait := c.openingWait(time.Now())
	c.mu.Unlock()
	if wait <= 0 {
		return
	}
	if c.openingTimer == nil {
		c.openingTimer = time.AfterFunc(wait, c.processQueue)
		return
	}
	c.openingTimer.Reset(wait)
}
