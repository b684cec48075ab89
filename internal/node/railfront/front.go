package railfront

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
	"github.com/fulmarrail/fulmarrail/internal/config/railservice"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	headerCustomer = "Fulmarrail-Customer"
	headerPriority = "Fulmarrail-Priority"
	headerDeadline = "Fulmarrail-Deadline"
	headerSession  = "Fulmarrail-Session"
	headerKey      = "Idempotency-Key"
	headerVerdict  = "Fulmarrail-Verdict"
	headerEndpoint = "Fulmarrail-Endpoint"
	headerWeights  = "Fulmarrail-Weights"

	frameBuffer      = 64
	shutdownInterval = 20 * time.Millisecond
)

// Front answers callers; its fields are set before its first use.
type Front struct {
	// Revision returns the revision in force.
	Revision func() (railrevision.Revision, bool)
	// Refusal returns the reason for which no new work is taken of a service, or an empty string.
	RefusalReason func(service railservice.Service) string
	// Forward runs a request and hands its frames to sink.
	Forward func(ctx context.Context, req railrequest.Request, sink func(endpoint string, frame *railproto.Frame) error) (railverdict.Verdict, *railproto.Frame, error)
	// Observe counts a finished request; status is what the caller was told.
	Observe func(req railrequest.Request, verdict railverdict.Verdict, firstToken, betweenTokens time.Duration)
	Log     *slog.Logger

	mu      sync.Mutex
	running int
}

type event struct {
	endpoint string
	frame    *railproto.Frame
}

type result struct {
	verdict railverdict.Verdict
	last    *railproto.Frame
	err     error
}

// Handle answers one caller.
func (f *Front) Handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/ready" {
		f.ready(ctx)
		return
	}
	req, service, status, err := f.parse(ctx)
	if err != nil {
		refuse(ctx, status, railverdict.NotRun, err.Error())
		return
	}
	if reason := f.RefusalReason(service); reason != "" {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter)
		refuse(ctx, fasthttp.StatusServiceUnavailable, railverdict.NotRun, reason)
		f.Observe(req, railverdict.NotRun, 0, 0)
		return
	}
	f.enter()
	f.serve(ctx, req, service)
}

// Running returns the number of requests whose answer is not finished.
func (f *Front) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running
}

// Drain waits until no request runs, or ctx is done.
func (f *Front) Drain(ctx context.Context) error {
	ticker := time.NewTicker(shutdownInterval)
	defer ticker.Stop()
	for f.Running() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Newf("%d requests still run", f.Running())
		}
	}
	return nil
}

func (f *Front) ready(ctx *fasthttp.RequestCtx) {
	if _, ok := f.Revision(); !ok {
		ctx.Error("no revision yet", fasthttp.StatusServiceUnavailable)
		return
	}
	if reason := f.RefusalReason(railservice.Service{WhenIsolated: railservice.RefuseWhenIsolated}); reason != "" {
		ctx.Error(reason, fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

// serve forwards the request and answers; a stream is answered as it grows, all else once it is whole.
func (f *Front) serve(ctx *fasthttp.RequestCtx, req railrequest.Request, service railservice.Service) {
	work, cancel := context.WithDeadline(context.Background(), req.Deadline)
	events := make(chan event, frameBuffer)
	done := make(chan result, 1)
	go func() {
		verdict, last, err := f.Forward(work, req, func(endpoint string, frame *railproto.Frame) error {
			select {
			case events <- event{endpoint: endpoint, frame: frame}:
				return nil
			case <-work.Done():
				return work.Err()
			}
		})
		done <- result{verdict: verdict, last: last, err: err}
		close(events)
	}()
	if service.IsEngine() {
		f.serveStream(ctx, req, events, done, cancel)
		return
	}
	defer f.leave()
	defer cancel()
	f.serveWhole(ctx, req, events, done)
}

func (f *Front) serveWhole(ctx *fasthttp.RequestCtx, req railrequest.Request, events <-chan event, done <-chan result) {
	var body []byte
	var end event
	for e := range events {
		body = append(body, e.frame.GetData()...)
		end = e
	}
	r := <-done
	f.Observe(req, r.verdict, time.Since(req.ReceivedAt), 0)
	if r.verdict != railverdict.Ran {
		refuseResult(ctx, r)
		return
	}
	ctx.SetStatusCode(int(end.frame.GetStatus()))
	ctx.SetContentType(end.frame.GetContentType())
	setOutcome(ctx, r.verdict, end)
	ctx.SetBody(body)
}

func (f *Front) enter() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running++
}

func (f *Front) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
}
