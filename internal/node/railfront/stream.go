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
	streamType = "text/event-stream"
	keepAlive  = time.Second
)

func (f *Front) serveStream(ctx *fasthttp.RequestCtx, req railrequest.Request, events <-chan event, done <-chan result, cancel context.CancelFunc) {
	first, ok := <-events
	if !ok {
		defer f.leave()
		defer cancel()
		r := <-done
		f.Observe(req, r.verdict, 0, 0)
		refuseResult(ctx, r)
		return
	}
	firstToken := time.Since(req.ReceivedAt)
	ctx.SetContentType(streamType)
	ctx.Response.Header.Set(headerEndpoint, first.endpoint)
	ctx.Response.Header.Set(headerWeights, first.frame.GetWeightsDigest())
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer f.leave()
		defer cancel()
		parts, err := stream(w, first, events)
		if err != nil {
			cancel() // The caller has left; the agent is told so.
		}
		r := <-drained(events, done)
		if err == nil && writeLast(w, r, parts) != nil {
			f.Log.Debug("caller left before the last event", "request", req.ID)
		}
		f.Observe(req, r.verdict, firstToken, betweenTokens(req, firstToken, parts))
	})
}

// stream writes the data frames and returns their number; comments keep the connection in use and find a caller that left.
func stream(w *bufio.Writer, first event, events <-chan event) (int, error) {
	ticker := time.NewTicker(keepAlive)
	defer ticker.Stop()
	parts := 0
	for e, ok := first, true; ok; {
		if e.frame.GetKind() == railproto.FrameKind_FRAME_KIND_DATA {
			parts++
			if _, err := fmt.Fprintf(w, "data: %s\n\n", e.frame.GetData()); err != nil {
				return parts, err
			}
			if err := w.Flush(); err != nil {
				return parts, err
			}
		}
		var err error
		if e, ok, err = next(w, ticker, events); err != nil {
			return parts, err
		}
	}
	return parts, nil
}

func next(w *bufio.Writer, ticker *time.Ticker, events <-chan event) (event, bool, error) {
	for {
		select {
		case e, ok := <-events:
			return e, ok, nil
		case <-ticker.C:
			if _, err := w.WriteString(": waiting\n\n"); err != nil {
				return event{}, false, err
			}
			if err := w.Flush(); err != nil {
				return event{}, false, err
			}
		}
	}
}

// writeLast writes the definite last event; only "end" means that the answer is whole.
func writeLast(w *bufio.Writer, r result, parts int) error {
	name := "error"
	outcome := map[string]any{"verdict": r.verdict.String()}
	if r.verdict == railverdict.Ran {
		name = "end"
		outcome["count"] = parts
		outcome["weights"] = r.last.GetWeightsDigest()
	} else {
		outcome["reason"] = explain(r)
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

// drained takes the events that nobody reads any more, so that the forwarder can end.
func drained(events <-chan event, done <-chan result) <-chan result {
	go func() {
		for range events {
		}
	}()
	return done
}

func betweenTokens(req railrequest.Request, firstToken time.Duration, parts int) time.Duration {
	if parts < 2 {
		return 0
	}
	return (time.Since(req.ReceivedAt) - firstToken) / time.Duration(parts-1)
}
