package railfront

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	eventStreamType   = "text/event-stream"
	keepAliveInterval = time.Second
)

func (f *Front) serveStream(ctx *fasthttp.RequestCtx, req railrequest.Request, first endpointFrame, frames <-chan endpointFrame, done <-chan result, cancel context.CancelFunc) {
	firstToken := time.Since(req.ReceivedAt)
	ctx.SetContentType(eventStreamType)
	ctx.Response.Header.Set(headerEndpoint, first.endpoint)
	ctx.Response.Header.Set(headerWeights, first.frame.GetWeightsDigest())
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer f.endRequest()
		defer cancel()
		defer func() {
			if railpanic.Recovered(recover(), f.Log, unitStream, "request", req.ID) != nil {
				abort(conn)
			}
		}()
		eventCount, err := writeEvents(w, first, frames)
		if err != nil {
			cancel() // The caller has disconnected. The forwarder cancels the call at the agent.
		}
		r := <-discardFrames(frames, done)
		if err == nil && writeFinalEvent(w, r, eventCount) != nil {
			f.Log.Debug("caller disconnected before the final event", "request", req.ID)
		}
		f.observe(req, r.verdict, firstToken, meanTokenInterval(req, firstToken, eventCount))
	})
}

// writeEvents writes each data frame as an event and returns their number. While it waits for frames, it writes comments to keep the
// connection alive and to detect a disconnected caller.
func writeEvents(w *bufio.Writer, first endpointFrame, frames <-chan endpointFrame) (int, error) {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	eventCount := 0
	for e, ok := first, true; ok; {
		if e.frame.GetKind() == railproto.FrameKind_FRAME_KIND_DATA {
			eventCount++
			if _, err := fmt.Fprintf(w, "data: %s\n\n", e.frame.GetData()); err != nil {
				return eventCount, err
			}
			if err := w.Flush(); err != nil {
				return eventCount, err
			}
		}
		var err error
		if e, ok, err = nextFrame(w, ticker, frames); err != nil {
			return eventCount, err
		}
	}
	return eventCount, nil
}

func nextFrame(w *bufio.Writer, ticker *time.Ticker, frames <-chan endpointFrame) (endpointFrame, bool, error) {
	for {
		select {
		case e, ok := <-frames:
			return e, ok, nil
		case <-ticker.C:
			if _, err := w.WriteString(": waiting\n\n"); err != nil {
				return endpointFrame{}, false, err
			}
			if err := w.Flush(); err != nil {
				return endpointFrame{}, false, err
			}
		}
	}
}

// writeFinalEvent writes the last event of a stream. Only the event "end" means that the response is complete.
func writeFinalEvent(w *bufio.Writer, r result, eventCount int) error {
	name := "error"
	outcome := map[string]any{"verdict": r.verdict.String()}
	if r.verdict == railverdict.Ran {
		name = "end"
		outcome["count"] = eventCount
		outcome["weights"] = r.finalFrame.GetWeightsDigest()
	} else {
		outcome["reason"] = failureReason(r)
	}
	data, err := json.Marshal(outcome)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, data); err != nil {
		return err
	}
	return w.Flush()
}

// discardFrames reads and drops the remaining frames, so that the forwarder can finish. It returns done.
func discardFrames(frames <-chan endpointFrame, done <-chan result) <-chan result {
	go func() {
		for range frames {
		}
	}()
	return done
}

func meanTokenInterval(req railrequest.Request, firstToken time.Duration, eventCount int) time.Duration {
	if eventCount < 2 {
		return 0
	}
	return (time.Since(req.ReceivedAt) - firstToken) / time.Duration(eventCount-1)
}
