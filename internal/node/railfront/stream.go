package railfront

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	eventStreamType   = "text/event-stream"
	keepAliveInterval = time.Second
)

func (f *Front) serveStream(ctx *fasthttp.RequestCtx, req railrequest.Request, events <-chan endpointFrame, done <-chan result, cancel context.CancelFunc) {
	first, ok := <-events
	if !ok {
		defer f.endRequest()
		defer cancel()
		r := <-done
		f.Observe(req, r.verdict, 0, 0)
		refuseFailed(ctx, r)
		return
	}
	firstToken := time.Since(req.ReceivedAt)
	ctx.SetContentType(eventStreamType)
	ctx.Response.Header.Set(headerEndpoint, first.endpoint)
	ctx.Response.Header.Set(headerWeights, first.frame.GetWeightsDigest())
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer f.endRequest()
		defer cancel()
		eventCount, err := writeEvents(w, first, events)
		if err != nil {
			cancel() // The caller has disconnected. The forwarder cancels the call at the agent.
		}
		r := <-discardEvents(events, done)
		if err == nil && writeFinalEvent(w, r, eventCount) != nil {
			f.Log.Debug("caller disconnected before the final event", "request", req.ID)
		}
		f.Observe(req, r.verdict, firstToken, meanTokenInterval(req, firstToken, eventCount))
	})
}

// writeEvents writes each data frame as an event and returns their number. While it waits for frames, it writes comments to keep the
// connection alive and to detect a disconnected caller.
func writeEvents(w *bufio.Writer, first endpointFrame, events <-chan endpointFrame) (int, error) {
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
		if e, ok, err = nextEvent(w, ticker, events); err != nil {
			return eventCount, err
		}
	}
	return eventCount, nil
}

func nextEvent(w *bufio.Writer, ticker *time.Ticker, events <-chan endpointFrame) (endpointFrame, bool, error) {
	for {
		select {
		case e, ok := <-events:
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
		outcome["weights"] = r.lastFrame.GetWeightsDigest()
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

// discardEvents reads and drops the remaining events, so that the forwarder can finish. It returns done.
func discardEvents(events <-chan endpointFrame, done <-chan result) <-chan result {
	go func() {
		for range events {
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
