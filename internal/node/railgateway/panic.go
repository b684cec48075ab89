package railgateway

import (
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
)

// The kinds of work in which a panic is contained.
const (
	unitRequest   = "request"
	unitStream    = "stream"
	unitAttempt   = "attempt"
	unitSearch    = "search"
	unitRecord    = "record"
	unitReadiness = "readiness"
	unitLimits    = "limits"
)

// isPanic reports whether an error is that of work that has panicked.
func isPanic(err error) bool {
	var p *railpanic.Error
	return errors.As(err, &p)
}

// panicRejection returns the rejection of a request whose work has panicked. It does not say with what.
func panicRejection(verdict railverdict.Verdict) *rejection {
	if verdict == railverdict.NotRun {
		return &rejection{status: fasthttp.StatusServiceUnavailable, reason: "the entry has failed, and the request has not run"}
	}
	return &rejection{status: fasthttp.StatusBadGateway, reason: "the entry has failed, and the request may have run"}
}

// endPanicked gives a request whose work has panicked its final response and releases what it holds.
func (g *Gateway) endPanicked(c *call) {
	rejected := panicRejection(c.tries.worstVerdict())
	g.respond(c, rejected)
	g.contain(c, func() {
		if c.cancel != nil {
			g.finish(c)
		}
	})
	g.contain(c, func() { g.recordRejection(c, rejected) })
}

// endPanickedStream resets the connection of a stream whose work has panicked, since a part of it must not look complete.
func (g *Gateway) endPanickedStream(c *call, err error) {
	c.abort()
	g.contain(c, func() { g.recordBroken(c, err) })
}

// contain calls record. A panic in the records of a response must not take its place, and may be what has ended the work of its request.
func (g *Gateway) contain(c *call, record func()) {
	defer func() { _ = railpanic.Recovered(recover(), g.Log, unitRecord, "request", c.ID) }()
	record()
}

// abandon ends an attempt whose work has panicked, and the search for one that takes over. Unless it had failed before, the attempt still counts as
// running, and thus as one that may have run.
func (a *attempt) abandon(watch *silenceWatch) {
	defer a.close(railfleet.Answered)
	watch.wentOn().closeUnless(false)
}

// closeUnless closes an attempt, if there is one, unless it has been handed over.
func (a *attempt) closeUnless(handedOver bool) {
	if a != nil && !handedOver {
		a.close(railfleet.Answered)
	}
}
