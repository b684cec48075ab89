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
	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
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

	frameBuffer = 64
)

// errStopping means that the entry has stopped before the response was complete.
var errStopping = errors.New("this entry stops before the answer is complete")

// Front handles callers' HTTP requests. Its exported fields must be set before first use.
type Front struct {
	// Revision returns the current revision, or false if there is none.
	Revision func() (railrevision.Revision, bool)
	// RejectionReason returns the reason why new requests for a service are rejected, or an empty string if they are accepted.
	RejectionReason func(service railservice.Service) string
	// Forward runs a request and passes each frame of its response to sink. It returns the verdict and the final frame,
	// which may be nil.
	Forward func(ctx context.Context, req railrequest.Request, sink func(endpoint string, frame *railproto.Frame) error) (railverdict.Verdict, *railproto.Frame, error)
	// Observe records a finished request with its verdict, the time to its first token and the mean time between tokens.
	Observe func(req railrequest.Request, verdict railverdict.Verdict, firstToken, betweenTokens time.Duration)
	Log     *slog.Logger

	once sync.Once
	// workCtx is done once interrupt was called.
	workCtx   context.Context
	interrupt context.CancelCauseFunc

	mu       sync.Mutex
	inFlight int
}

// endpointFrame is a frame of a response and the endpoint that sent it.
type endpointFrame struct {
	endpoint string
	frame    *railproto.Frame
}

// result is the outcome of a forwarded request.
type result struct {
	verdict    railverdict.Verdict
	finalFrame *railproto.Frame
	err        error
}

// Handle serves one HTTP request: the readiness check or a caller's request. A panic ends only that.
func (f *Front) Handle(ctx *fasthttp.RequestCtx) {
	running := false
	defer func() {
		if railpanic.Recovered(recover(), f.Log, unitRequest) != nil {
			rejectPanicked(ctx, running)
		}
	}()
	if string(ctx.Path()) == "/ready" {
		f.serveReadiness(ctx)
		return
	}
	req, service, status, err := f.parse(ctx)
	if err != nil {
		reject(ctx, status, railverdict.NotRun, err.Error())
		return
	}
	if reason := f.RejectionReason(service); reason != "" {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds)
		reject(ctx, fasthttp.StatusServiceUnavailable, railverdict.NotRun, reason)
		f.observe(req, railverdict.NotRun, 0, 0)
		return
	}
	running = true
	f.beginRequest()
	f.serve(ctx, req, service)
}

// Running returns the number of requests in flight.
func (f *Front) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inFlight
}

// Interrupt ends the running requests, and later ones at once. Their responses say that the entry stops. It can't be undone.
func (f *Front) Interrupt() {
	f.init()
	f.interrupt(errStopping)
}

func (f *Front) init() {
	f.once.Do(func() { f.workCtx, f.interrupt = context.WithCancelCause(context.Background()) })
}

func (f *Front) serveReadiness(ctx *fasthttp.RequestCtx) {
	if _, ok := f.Revision(); !ok {
		ctx.Error("no revision yet", fasthttp.StatusServiceUnavailable)
		return
	}
	if reason := f.RejectionReason(railservice.Service{WhenIsolated: railservice.RefuseWhenIsolated}); reason != "" {
		ctx.Error(reason, fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

// serve forwards a request and writes its response. An engine's response is streamed; any other is written once it is complete.
func (f *Front) serve(ctx *fasthttp.RequestCtx, req railrequest.Request, service railservice.Service) {
	f.init()
	workCtx, cancel := context.WithDeadline(f.workCtx, req.Deadline)
	frames := make(chan endpointFrame, frameBuffer)
	done := make(chan result, 1)
	go func() {
		defer close(frames)
		verdict, finalFrame, err := f.forwardContained(workCtx, req, func(endpoint string, frame *railproto.Frame) error {
			select {
			case frames <- endpointFrame{endpoint: endpoint, frame: frame}:
				return nil
			case <-workCtx.Done():
				return workCtx.Err()
			}
		})
		if errors.Is(context.Cause(workCtx), errStopping) {
			err = errStopping
		}
		done <- result{verdict: verdict, finalFrame: finalFrame, err: err}
	}()
	streaming := false
	defer func() {
		if !streaming {
			cancel()
			f.endRequest()
		}
	}()
	first, ok := <-frames
	if ok && service.IsEngine() && isEvent(first.frame) {
		f.serveStream(ctx, req, first, frames, done, cancel)
		streaming = true
		return
	}
	f.serveBuffered(ctx, req, first, frames, done)
}

// isEvent reports whether a data frame is a part of a stream, which names its weights. An engine's error does not.
func isEvent(frame *railproto.Frame) bool {
	return frame.GetWeightsDigest() != ""
}

func (f *Front) serveBuffered(ctx *fasthttp.RequestCtx, req railrequest.Request, first endpointFrame, frames <-chan endpointFrame, done <-chan result) {
	body := append([]byte(nil), first.frame.GetData()...)
	end := first
	for e := range frames {
		body = append(body, e.frame.GetData()...)
		end = e
	}
	r := <-done
	f.observe(req, r.verdict, time.Since(req.ReceivedAt), 0)
	if r.verdict != railverdict.Ran {
		rejectUnanswered(ctx, r)
		return
	}
	ctx.SetStatusCode(int(end.frame.GetStatus()))
	ctx.SetContentType(end.frame.GetContentType())
	setOutcomeHeaders(ctx, r.verdict, end)
	ctx.SetBody(body)
}

func (f *Front) beginRequest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight++
}

func (f *Front) endRequest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
}
