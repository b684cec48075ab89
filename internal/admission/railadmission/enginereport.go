package railadmission

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railselfreport"
	"github.com/fulmarrail/fulmarrail/internal/request/railheader"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// anonymousLeavingTime is the time after which an endpoint that has no incarnation, and has said that it is leaving, counts as replaced.
	anonymousLeavingTime = time.Minute
	// malformedLogsPerSecond is the number of malformed headers that are logged each second.
	malformedLogsPerSecond = 1
)

var (
	leavingReports   = metrics.GetOrCreateCounter(`fulmarrail_agent_endpoint_reports_total{report="leaving"}`)
	pauseReports     = metrics.GetOrCreateCounter(`fulmarrail_agent_endpoint_reports_total{report="pause"}`)
	malformedHeaders = metrics.GetOrCreateCounter("fulmarrail_agent_malformed_headers_total")
)

// RecordReport records what the endpoint has said of itself in a response. incarnation is that of the engine, or empty if the response does
// not state it. Queued requests that can't be admitted any more are rejected.
func (c *Controller) RecordReport(incarnation string, said railheader.SelfReport) {
	c.logMalformed(said)
	left, paused, engine := c.applyReport(incarnation, said)
	if left {
		leavingReports.Inc()
		c.Log.Info("endpoint leaves", "incarnation", engine, "source", "response", "age", time.Duration(0))
	}
	if paused {
		pauseReports.Inc()
		c.Log.Info("endpoint asks for no requests", "incarnation", engine, "source", "response", "age", time.Duration(0), "for", said.Pause)
		c.Limiter.Reset() // Traffic returns by the limits of a cold endpoint.
	}
	if left || paused {
		c.processQueue()
	}
}

// applyReport adds to the engine's report what it has said of itself. It reports whether the engine has begun to leave or to pause, and its incarnation.
func (c *Controller) applyReport(incarnation string, said railheader.SelfReport) (left, paused bool, engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.identifyEngine(incarnation)
	left = said.Leaving && !c.engineLeaving(now)
	paused = said.Pause > 0 && !c.engineReport.Paused(now)
	if said.Leaving {
		c.engineReport = *c.engineReport.WithLeaving(now, 0)
	}
	if said.Pause > 0 {
		c.engineReport = *c.engineReport.WithPause(now, said.Pause)
	}
	return left, paused, c.engineIncarnation
}

// EngineRefuses reports whether the endpoint has said that it wants no requests now. An admitted request that has waited since then must not be
// sent to it.
func (c *Controller) EngineRefuses() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engineReason(time.Now()) != admitted
}

// PauseRemaining returns the time after which the endpoint takes requests again, or 0 if it has not asked for a pause or is leaving.
func (c *Controller) PauseRemaining() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.engineLeaving(now) {
		return 0
	}
	return max(c.engineReport.PausedUntil().Sub(now), 0)
}

// engineReason returns the reason why the endpoint wants no requests now, or REASON_UNSPECIFIED.
func (c *Controller) engineReason(now time.Time) railproto.Reason {
	switch {
	case c.engineLeaving(now):
		return railproto.Reason_REASON_LEAVING
	case c.engineReport.Paused(now):
		return railproto.Reason_REASON_ENDPOINT_REFUSED
	}
	return admitted
}

// logMalformed logs the headers that were ignored, at most one a second.
func (c *Controller) logMalformed(said railheader.SelfReport) {
	c.samplerOnce.Do(func() { c.malformedSampler.PerSecond = malformedLogsPerSecond })
	for _, h := range said.Malformed {
		malformedHeaders.Inc()
		if suppressed, ok := c.malformedSampler.Allow(); ok {
			c.Log.Warn("malformed header ignored", "header", h.Name, "value", h.Value, "leftOut", suppressed)
		}
	}
}

// identifyEngine starts a new report if the engine has another incarnation than the one that the report is about. An unknown incarnation
// changes nothing.
func (c *Controller) identifyEngine(incarnation string) {
	i := railinstance.Instance{ID: incarnation}
	if incarnation != "" && !c.engineReport.IsAbout(i) {
		c.engineReport = *railselfreport.New(i)
		c.controlNamesLimit = false
	}
}

// engineLeaving reports whether the endpoint has said that it is leaving.
func (c *Controller) engineLeaving(now time.Time) bool {
	if c.engineReport.IsAbout(railinstance.Instance{}) && c.engineReport.LeavingAge(now) > anonymousLeavingTime {
		return false
	}
	return c.engineReport.Leaving()
}
