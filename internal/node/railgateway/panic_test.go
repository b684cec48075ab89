package railgateway_test

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/config/railroute"
	"github.com/fulmarrail/fulmarrail/internal/node/railgateway"
	"github.com/fulmarrail/fulmarrail/internal/request/railheader"
	"github.com/fulmarrail/fulmarrail/platform"
)

const (
	// panicHeader names the step at which work on a request, or on a response, panics.
	panicHeader  = "X-Test-Panic"
	panicParse   = "parse"
	panicAttempt = "attempt"
	panicAnswer  = "answer"
	panicCopy    = "copy"
	// limitReads is how often the configuration is read for the limits of a connection and of its first request.
	limitReads = 2
)

// panickingTranslator panics where a header says so.
type panickingTranslator struct {
	platform.Translator
}

func panicAt(step string, header []byte) {
	if string(header) == step {
		panic("at " + step)
	}
}

func (t panickingTranslator) ParseRequest(h *fasthttp.RequestHeader) railheader.Request {
	panicAt(panicParse, h.Peek(panicHeader))
	return t.Translator.ParseRequest(h)
}

func (t panickingTranslator) WriteAttempt(h *fasthttp.RequestHeader, a railheader.Attempt) {
	panicAt(panicAttempt, h.Peek(panicHeader))
	t.Translator.WriteAttempt(h, a)
}

func (t panickingTranslator) ParseResponse(h *fasthttp.ResponseHeader) railheader.Response {
	panicAt(panicAnswer, h.Peek(panicHeader))
	return t.Translator.ParseResponse(h)
}

func (t panickingTranslator) RemoveInternal(h *fasthttp.ResponseHeader) {
	panicAt(panicCopy, h.Peek(panicHeader))
	t.Translator.RemoveInternal(h)
}

// panickingHandler panics at lines with a message, if that is not empty.
type panickingHandler struct {
	slog.Handler
	message string
}

func (h panickingHandler) Handle(ctx context.Context, r slog.Record) error {
	if h.message != "" && r.Message == h.message {
		panic("at a line")
	}
	return h.Handler.Handle(ctx, r)
}

func (h panickingHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return panickingHandler{Handler: h.Handler.WithAttrs(attrs), message: h.message}
}

// panicsNext makes work panic that reads the configuration, as often as it is set.
type panicsNext struct {
	times atomic.Int64
}

func (p *panicsNext) wrap(catalog func() (railcatalog.Catalog, bool)) func() (railcatalog.Catalog, bool) {
	return func() (railcatalog.Catalog, bool) {
		if p.times.Load() > 0 && p.times.Add(-1) >= 0 {
			panic("at the configuration")
		}
		return catalog()
	}
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(requestTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// idle reports whether no request is in flight or queued at the gateway, and none of its requests at any endpoint.
func (d *deployment) idle() bool {
	r := d.gateway.Report()
	busy := r.Running
	for _, n := range r.QueuedRequests {
		busy += n
	}
	for _, s := range d.gateway.Fleet.Snapshot() {
		busy += s.InFlight
	}
	return busy == 0
}

// Guards against a panic in the work of one request that ends the process, and with it all requests without an answer.
func TestPanicEndsOnlyItsRequestWithFinalResponse(t *testing.T) {
	answerPanics := withHeader(panicHeader, panicAnswer, respondOK)
	for name, c := range map[string]struct {
		path string
		// step is where work on the request panics, and line the log line at which it does; both may be empty.
		step, line string
		near, far  handler
		// configuration is how often reading it panics, once the request is queued if queued is set, and else at once.
		configuration int64
		queued        bool
		// status is that of the response, or 0 if the response is reset.
		status int
		body   string
	}{
		"request is parsed":                          {path: "/unsafe/x", step: panicParse, status: 503},
		"request is accepted":                        {path: "/unsafe/x", configuration: limitReads + 1, status: 503},
		"request is accepted, and when it is logged": {path: "/unsafe/x", configuration: limitReads + 2, status: 503},
		"refusal is logged":                          {path: "/none/x", line: "request refused", status: 404},
		"request is queued":                          {path: "/unsafe/x", configuration: 1, queued: true, status: 503},
		"attempt is prepared":                        {path: "/unsafe/x", step: panicAttempt, status: 503},
		"attempt at a safe request is prepared":      {path: "/safe/x", step: panicAttempt, status: 503},
		"response is parsed":                         {path: "/unsafe/x", near: answerPanics, status: 502},
		"response to a safe request is parsed":       {path: "/safe/x", near: answerPanics, far: respondOK, status: 502},
		"retry's response is parsed":                 {path: "/safe/x", near: abortConnection, far: answerPanics, status: 502},
		"failed attempt is logged":                   {path: "/unsafe/x", line: "attempt failed", near: abortConnection, far: respondOK, status: 502},
		"attempt that has not run is logged":         {path: "/unsafe/x", line: "attempt failed", near: respondNotRun, far: respondOK, status: 503},
		"response is logged":                         {path: "/unsafe/x", line: "request answered", near: respondOK, status: 200, body: "done"},
		"response is copied":                         {path: "/unsafe/x", near: withHeader(panicHeader, panicCopy, respondOK), status: 502},
		"stream's header is copied":                  {path: "/stream/x", near: withHeader(panicHeader, panicCopy, respondEvents(1, 4, true)), status: 502},
		"stream goes on elsewhere":                   {path: "/stream/x", line: "stream is taken up elsewhere", near: respondEvents(1, 2, false), far: respondEvents(3, 4, true)},
		"stream's resume is parsed":                  {path: "/stream/x", near: respondEvents(1, 2, false), far: withHeader(panicHeader, panicAnswer, respondEvents(3, 4, true))},
		"broken stream is logged":                    {path: "/stream/x", line: "stream broken", near: respondEvents(1, 2, false), far: respondNotRun},
		"stream is logged":                           {path: "/stream/x", line: "request answered", near: respondEvents(1, 4, true), status: 200, body: allEvents},
		"search's response is parsed": {
			path: "/stream/x", near: respondWithPause(2, func() {}), far: withHeader(panicHeader, panicAnswer, respondEvents(3, 4, true)), status: 200, body: allEvents,
		},
		"search is logged":                        {path: "/stream/x", line: "silent endpoint", near: respondWithPause(2, func() {}), far: respondEvents(3, 4, true), status: 200, body: allEvents},
		"search before the first event is parsed": {path: "/stream/x", near: respondWithPause(0, func() {}), far: withHeader(panicHeader, panicAnswer, respondEvents(1, 4, true)), status: 200, body: allEvents},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			other := make(chan struct{}, 1)
			release := make(chan struct{})
			near := &endpoint{name: "near", handlers: sequence(respondInParts(other, release, respondNothing, respondOK), or(c.near, respondOK), respondOK)}
			far := &endpoint{name: "far", handlers: sequence(or(c.far, respondNotRun), respondOK)}
			var next panicsNext
			d := newCustomDeployment(t, func(g *railgateway.Gateway) {
				g.Translator = panickingTranslator{}
				g.Catalog = next.wrap(g.Catalog)
				g.Log = slog.New(panickingHandler{Handler: g.Log.Handler(), message: c.line})
			}, near, far)
			d.changeCatalog(func(catalog railcatalog.Catalog) railcatalog.Catalog {
				routes := mapRoutes(catalog, func(r *railroute.Route) { r.TargetLatency = min(r.TargetLatency, 700*time.Millisecond) })
				return catalog.WithRoutes(routes)
			})
			others := make(chan response, 1)
			go func() { others <- d.call(t, "/unsafe/other", validKey) }()
			<-other
			if c.queued {
				d.gateway.Fleet.SetInstances(nil)
			} else {
				next.times.Store(c.configuration)
			}
			responses := make(chan response, 1)
			go func() { responses <- d.callWithHeader(t, c.path, panicHeader, c.step) }()
			if c.queued {
				waitFor(t, "the request is queued", func() bool { return d.gateway.Report().QueuedRequests["desk"] == 1 })
				next.times.Store(c.configuration)
			}
			got := <-responses
			if c.status == 0 {
				qt.Check(t, got.err, qt.IsNotNil, qt.Commentf("%q", got.body))
			} else {
				qt.Check(t, got.err, qt.IsNil)
				qt.Check(t, got.status, qt.Equals, c.status)
				qt.Check(t, got.header.Get("Retry-After") != "", qt.Equals, c.status == http.StatusServiceUnavailable)
				qt.Check(t, got.body, qt.Not(qt.Contains), "panic")
			}
			if c.body != "" {
				qt.Check(t, got.body, qt.Equals, c.body)
			}
			d.gateway.Fleet.SetInstances(d.instances)
			close(release)
			before := <-others
			qt.Check(t, before.err, qt.IsNil)
			qt.Check(t, before.status, qt.Equals, http.StatusOK)
			qt.Check(t, d.call(t, "/unsafe/x", validKey).status, qt.Equals, http.StatusOK)
			waitFor(t, "nothing is in flight", d.idle)
			qt.Check(t, strings.Count(d.log.String(), "panic contained") <= 3, qt.IsTrue)
		})
	}
}

func or(h, other handler) handler {
	if h == nil {
		return other
	}
	return h
}

// callWithHeader is call with a header, unless its value is empty.
func (d *deployment) callWithHeader(t *testing.T, path, name, value string) response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, d.url+path, strings.NewReader("body"))
	qt.Assert(t, err, qt.IsNil)
	req.Host = "host.example"
	req.Header.Set(idHeader, "id-1")
	req.Header.Set("X-Fulmarrail-Request-Deadline", "20000")
	req.Header.Set("Authorization", "Token "+validKey)
	if value != "" {
		req.Header.Set(name, value)
	}
	return roundTrip(req)
}

// Guards against a readiness check that ends the process.
func TestPanicInReadinessCheckIsContained(t *testing.T) {
	var next panicsNext
	d := newCustomDeployment(t, func(g *railgateway.Gateway) { g.Catalog = next.wrap(g.Catalog) }, &endpoint{name: "near", handlers: sequence(respondOK)})
	next.times.Store(1)
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusOK} {
		resp, err := http.Get(d.readyURL + platform.ReadyPath)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.Body.Close(), qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, status)
	}
}
