package railgateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railexchange"
)

// successfulStreamTime is the time after which a stream that has begun counts as successful, though it is not complete.
const successfulStreamTime = 200 * time.Millisecond

// quarantineParts returns the names of the shared parts of the prompt for the quarantine. The same part may be harmless to the engines of another
// service.
func (c *call) quarantineParts() []string {
	var names []string
	for _, part := range c.SharedParts {
		names = append(names, c.service+"/"+part)
	}
	return names
}

// recordSuccess records that the engine has run the request without harm. Failures don't tell whether it has run at all.
func (a *attempt) recordSuccess() {
	if a.exchange.Header.StatusCode() < fasthttp.StatusMultipleChoices {
		a.pass.Succeeded()
	}
}

// endedWithEngine reports whether the response may have ended only because the engine has: its end is that of the connection, and the engine accepts
// no new one.
func (a *attempt) endedWithEngine(c *call) bool {
	instance := a.lease.Instance
	return a.exchange.EndsWithConnection() && !instance.Draining && railexchange.Refuses(c.workCtx, instance.Address)
}

// checkEngine records whether the engine of an attempt that broke off has ended. Without parts that other requests may share, there would be
// nothing to learn from that.
func (a *attempt) checkEngine(c *call) {
	instance := a.lease.Instance
	switch {
	case len(c.SharedParts) == 0 || a.pass.Settled():
	case railexchange.Refuses(c.workCtx, instance.Address):
		a.pass.EngineEnded(instance.ID)
	default:
		a.pass.Broken(instance.ID)
	}
}
