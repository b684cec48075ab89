package railconn

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// UnreadableStatus returns the status and the reason with which the HTTP server answers a request on a connection that could not be read because of
// err. stopping is whether the process drains: a request that has not arrived in full at the end of the drain may be sent to another process.
func UnreadableStatus(c net.Conn, err error, stopping bool) (status int, reason string) {
	var headTooLong *fasthttp.ErrSmallBuffer
	conn, ok := c.(*Conn)
	switch timedOut := ok && conn.hasTimedOut(); { // The error itself doesn't tell: that of a chunked body hides its cause.
	case ok && conn.isOutOfMemory():
		return fasthttp.StatusServiceUnavailable, "the entry has no memory left for the request"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge, "the body is too long"
	case errors.As(err, &headTooLong):
		return fasthttp.StatusRequestHeaderFieldsTooLarge, "the request's head is too long"
	case timedOut && stopping:
		return fasthttp.StatusServiceUnavailable, "the entry stops, and the request has not arrived in full"
	case timedOut:
		return fasthttp.StatusRequestTimeout, "the request has not arrived in time"
	}
	return fasthttp.StatusBadRequest, "the request can't be parsed"
}
