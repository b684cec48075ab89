package railgateway

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/node/railconn"
	"github.com/fulmarrail/fulmarrail/internal/request/railretrydetector"
)

// rejectUnreadable responds to a request that could not be read.
func (g *Gateway) rejectUnreadable(ctx *fasthttp.RequestCtx, err error) {
	status, reason := railconn.UnreadableStatus(ctx.Conn(), err, g.drainState.draining.Load())
	metrics.GetOrCreateCounter(fmt.Sprintf(`fulmarrail_gateway_unreadable_requests_total{status="%d"}`, status)).Inc()
	ctx.Error(reason+"\n", status)
	if status == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, formatSeconds(railretrydetector.RetryAfter(0, 0, rand.Float64())))
	}
}

// formatSeconds formats a duration as a number of seconds.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
