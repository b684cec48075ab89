package railgateway

import (
	"bufio"
	"bytes"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/core/raillogsampler"
	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/node/railconn"
	"github.com/fulmarrail/fulmarrail/internal/node/railloss"
)

// lossLogsPerSecond is the number of losses of each kind that are logged each second. Callers can cause any number of them.
const lossLogsPerSecond = 5

// lossLog logs and counts connections that ended so that their callers got no complete response.
type lossLog struct {
	samplers map[railloss.Kind]*raillogsampler.Sampler
	counters map[railloss.Kind]*metrics.Counter
}

func (l *lossLog) init() {
	l.samplers, l.counters = map[railloss.Kind]*raillogsampler.Sampler{}, map[railloss.Kind]*metrics.Counter{}
	for _, kind := range []railloss.Kind{railloss.Incomplete, railloss.Discarded, railloss.Unanswered, railloss.Unwritten} {
		l.samplers[kind] = &raillogsampler.Sampler{PerSecond: lossLogsPerSecond}
		l.counters[kind] = metrics.GetOrCreateCounter(fmt.Sprintf(`fulmarrail_gateway_connection_losses_total{loss=%q}`, kind))
	}
}

// logLoss counts a loss and logs it, if not too many have been logged.
func (g *Gateway) logLoss(loss railloss.Loss) {
	defer func() { _ = railpanic.Recovered(recover(), g.Log, unitRecord) }()
	g.lossLog.counters[loss.Kind].Inc()
	suppressed, ok := g.lossLog.samplers[loss.Kind].Allow()
	if !ok {
		return
	}
	id := loss.RequestID
	if loss.Kind == railloss.Discarded {
		id = g.idOfHead(loss.Head)
	}
	g.Log.Info("connection ended without a response", "loss", loss.Kind, "request", id, "bytes", loss.Bytes, "sinceFirst", loss.SinceFirst,
		"sinceLast", loss.SinceLast, "sinceEnd", loss.SinceEnd, "draining", loss.Draining, "err", loss.Err, "leftOut", suppressed)
}

// idOfHead returns the ID of the request that begins with data, or an empty string if its header is not complete or can't be parsed.
func (g *Gateway) idOfHead(data []byte) string {
	var header fasthttp.RequestHeader
	if err := header.Read(bufio.NewReaderSize(bytes.NewReader(data), len(data)+1)); err != nil {
		return "" // The line then tells the number of bytes only.
	}
	return g.Translator.ParseRequest(&header).ID
}

// logOpenConnections logs and counts the connections that the end of the process closes.
func (g *Gateway) logOpenConnections(listener *railconn.Listener, start time.Time) {
	open := listener.Open()
	metrics.GetOrCreateCounter(`fulmarrail_gateway_connections_open_at_end_total`).Add(open)
	g.Log.Info("drain ended", "open", open, "states", listener.Counts(), "after", time.Since(start))
}
