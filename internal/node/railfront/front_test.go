package railfront_test

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/fulmarrail/fulmarrail/internal/config/railfile"
	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
	"github.com/fulmarrail/fulmarrail/internal/config/railservice"
	"github.com/fulmarrail/fulmarrail/internal/limit/railquarantine"
	"github.com/fulmarrail/fulmarrail/internal/node/railfront"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/routing/raildispatcher"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const configFile = `[origin main]
region = a
[customer castle]
maxPriority = 6
[service chat]
kind = engine
version = v1
maxBody = 100
[service orders]
kind = plain
repeatable = no
`

type sink = func(string, *railproto.Frame) error

// newClient returns a client of a new front that forwards its requests to forward.
func newClient(c *qt.C, rejectionReason string, forward func(req railrequest.Request, s sink) (railverdict.Verdict, *railproto.Frame, error)) *fasthttp.Client {
	client, _ := newFront(c, rejectionReason, func(_ context.Context, req railrequest.Request, s sink) (railverdict.Verdict, *railproto.Frame, error) {
		return forward(req, s)
	})
	return client
}

// newFront returns a new front that forwards its requests to forward, and a client of it.
func newFront(c *qt.C, rejectionReason string, forward func(ctx context.Context, req railrequest.Request, s sink) (railverdict.Verdict, *railproto.Frame, error)) (*fasthttp.Client, *railfront.Front) {
	emptyFolder := railfolder.Folder{Stamp: 1}
	revision, _, err := railrevision.Revision{}.Next(emptyFolder.WithFile(railfile.File{Name: "10.ini", Stamp: 1, Content: configFile}))
	c.Assert(err, qt.IsNil)
	front := &railfront.Front{
		Revision:        func() (railrevision.Revision, bool) { return revision, true },
		RejectionReason: func(railservice.Service) string { return rejectionReason },
		Forward: func(ctx context.Context, req railrequest.Request, s func(string, *railproto.Frame) error) (railverdict.Verdict, *railproto.Frame, error) {
			return forward(ctx, req, s)
		},
		Observe: func(railrequest.Request, railverdict.Verdict, time.Duration, time.Duration) {},
		Log:     slog.New(slog.DiscardHandler),
	}
	lis := fasthttputil.NewInmemoryListener()
	server := &fasthttp.Server{Handler: front.Handle}
	go func() { _ = server.Serve(lis) }()
	c.Cleanup(func() { _ = server.Shutdown() })
	return &fasthttp.Client{Dial: func(string) (net.Conn, error) { return lis.Dial() }}, front
}

func send(c *qt.C, client *fasthttp.Client, method, path, body string, headers ...string) (status int, response string, h *fasthttp.ResponseHeader) {
	var req fasthttp.Request
	resp := &fasthttp.Response{}
	req.Header.SetMethod(method)
	req.SetRequestURI("http://entry" + path)
	req.SetBodyString(body)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	c.Assert(client.Do(&req, resp), qt.IsNil)
	return resp.StatusCode(), string(resp.Body()), &resp.Header
}

func TestMalformedRequestsAreRefusedAsNotRun(t *testing.T) {
	customer := []string{"Fulmarrail-Customer", "castle"}
	for _, test := range []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		reason                   string
	}{
		{"unknown service", "POST", "/chta/x", "", customer, 404, "there is no service"},
		{"no customer", "POST", "/chat/x", "", nil, 403, "names no known customer"},
		{"unknown customer", "POST", "/chat/x", "", []string{"Fulmarrail-Customer", "x"}, 403, "names no known customer"},
		{"another method", "GET", "/chat/x", "", customer, 405, "use POST"},
		{"too large", "POST", "/chat/x", strings.Repeat("x", 101), customer, 413, "over 100 bytes"},
		{"priority", "POST", "/chat/x", "", append([]string{"Fulmarrail-Priority", "high"}, customer...), 400, "level from 0 to 9"},
		{"deadline", "POST", "/chat/x", "", append([]string{"Fulmarrail-Deadline", "5"}, customer...), 400, "duration such as"},
		{"key", "POST", "/orders/x", "", append([]string{"Idempotency-Key", strings.Repeat("k", 257)}, customer...), 400, "over 256 bytes"},
		{"path not UTF-8", "POST", "/chat/%ff", "", customer, 400, "the path is not UTF-8"},
		{"content type not UTF-8", "POST", "/chat/x", "", append([]string{"Content-Type", "\xff"}, customer...), 400, "Content-Type is not UTF-8"},
		{"key not UTF-8", "POST", "/orders/x", "", append([]string{"Idempotency-Key", "\xff"}, customer...), 400, "Idempotency-Key is not UTF-8"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			client := newClient(c, "", func(railrequest.Request, sink) (railverdict.Verdict, *railproto.Frame, error) {
				c.Error("the request was forwarded")
				return railverdict.NotRun, nil, nil
			})
			status, body, h := send(c, client, test.method, test.path, test.body, test.headers...)
			c.Check(status, qt.Equals, test.status)
			c.Check(string(h.Peek("Fulmarrail-Verdict")), qt.Equals, "notRun")
			c.Check(body, qt.Contains, test.reason)
		})
	}
}

func TestResponseCarriesVerdict(t *testing.T) {
	data := &railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_DATA, Data: []byte(`{"token":"t"}`), WeightsDigest: "w"}
	end := &railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_END, Count: 1, Status: 201, ContentType: "text/plain", WeightsDigest: "w"}
	failure := &railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_DATA, Data: []byte("failure")}
	failureEnd := &railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_END, Count: 1, Status: 500, ContentType: "text/plain"}
	for _, test := range []struct {
		name, path string
		frames     []*railproto.Frame
		verdict    railverdict.Verdict
		finalFrame *railproto.Frame
		status     int
		want       string
	}{
		{"whole order", "/orders/x", []*railproto.Frame{data, end}, railverdict.Ran, end, 201, `{"token":"t"}`},
		{"order not run", "/orders/x", nil, railverdict.NotRun, nil, 503, "notRun"},
		{"order that may have run", "/orders/x", []*railproto.Frame{data}, railverdict.MayHaveRun, nil, 502, "mayHaveRun"},
		{"key reused", "/orders/x", nil, railverdict.NotRun, &railproto.Frame{Reason: railproto.Reason_REASON_KEY_REUSED}, 422, "notRun"},
		{"whole stream", "/chat/x", []*railproto.Frame{data, end}, railverdict.Ran, end, 200, "event: end\ndata: {\"count\":1,\"verdict\":\"ran\",\"weights\":\"w\"}"},
		{"cut stream", "/chat/x", []*railproto.Frame{data}, railverdict.MayHaveRun, nil, 200, "event: error\ndata: {\"reason\":\"cut\",\"verdict\":\"mayHaveRun\"}"},
		{"engine's error", "/chat/x", []*railproto.Frame{failure, failureEnd}, railverdict.Ran, failureEnd, 500, "failure"},
		{"stream not run", "/chat/x", nil, railverdict.NotRun, nil, 503, "notRun"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			client := newClient(c, "", func(req railrequest.Request, s sink) (railverdict.Verdict, *railproto.Frame, error) {
				c.Check(req.Priority, qt.Equals, 6)
				for _, f := range test.frames {
					c.Check(s("e", f), qt.IsNil)
				}
				if test.verdict == railverdict.Ran {
					return test.verdict, test.finalFrame, nil
				}
				return test.verdict, test.finalFrame, errors.New("cut")
			})
			status, body, _ := send(c, client, "POST", test.path, "{}", "Fulmarrail-Customer", "castle", "Fulmarrail-Priority", "9")
			c.Check(status, qt.Equals, test.status)
			c.Check(body, qt.Contains, test.want)
			c.Check(strings.Contains(body, "event: end"), qt.Equals, test.name == "whole stream")
		})
	}
}

func TestRejectionReasonFailsReadinessAndRequests(t *testing.T) {
	c := qt.New(t)
	client := newClient(c, "this entry is about to stop", nil)
	status, _, _ := send(c, client, "GET", "/ready", "")
	c.Check(status, qt.Equals, 503)
	status, body, h := send(c, client, "POST", "/chat/x", "", "Fulmarrail-Customer", "castle")
	c.Check(status, qt.Equals, 503)
	c.Check(body, qt.Contains, "notRun")
	c.Check(string(h.Peek("Retry-After")), qt.Equals, "1")
}

func TestRefusalTellsHowLongPartsOfTheRequestAreQuarantined(t *testing.T) {
	c := qt.New(t)
	client := newClient(c, "", func(req railrequest.Request, _ sink) (railverdict.Verdict, *railproto.Frame, error) {
		c.Check(len(req.SharedParts) > 0, qt.IsTrue)
		return railverdict.NotRun, nil, &railquarantine.QuarantinedError{Parts: req.SharedParts, Remaining: 41200 * time.Millisecond}
	})
	status, body, h := send(c, client, "POST", "/chat/x", "{}", "Fulmarrail-Customer", "castle")
	c.Check(status, qt.Equals, 503)
	c.Check(body, qt.Contains, "notRun")
	c.Check(string(h.Peek("Retry-After")), qt.Equals, "42")
}

func TestCallerRejectedDuringAPauseOfAllEndpointsLearnsWhenItEnds(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want []string
	}{
		"no pause": {errors.New("too many requests wait"), []string{"1"}},
		"a pause":  {&raildispatcher.PausedError{Remaining: 7500 * time.Millisecond}, []string{"8", "9"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := newClient(c, "", func(railrequest.Request, sink) (railverdict.Verdict, *railproto.Frame, error) {
				return railverdict.NotRun, nil, test.err
			})
			req, resp := &fasthttp.Request{}, &fasthttp.Response{}
			req.SetRequestURI("http://entry/orders/")
			req.Header.SetMethod(fasthttp.MethodPost)
			req.Header.Set("Fulmarrail-Customer", "castle")
			req.Header.Set("Idempotency-Key", "k")
			c.Assert(client.Do(req, resp), qt.IsNil)
			c.Check(resp.StatusCode(), qt.Equals, fasthttp.StatusServiceUnavailable)
			c.Check(test.want, qt.Contains, string(resp.Header.Peek("Retry-After")))
		})
	}
}

// Guards against requests that get no answer, and streams that get no final event, since the entry's drain is over.
func TestInterruptedRequestsSayThatTheEntryStops(t *testing.T) {
	data := &railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_DATA, Data: []byte(`{"token":"t"}`), WeightsDigest: "w"}
	for _, test := range []struct {
		name, path string
		frames     []*railproto.Frame
		verdict    railverdict.Verdict
		status     int
		want       string
	}{
		{"order that waits", "/orders/x", nil, railverdict.NotRun, 503, `"verdict":"notRun"`},
		{"order that runs", "/orders/x", nil, railverdict.MayHaveRun, 504, `"verdict":"mayHaveRun"`},
		{"stream that has not begun", "/chat/x", nil, railverdict.MayHaveRun, 504, `"verdict":"mayHaveRun"`},
		{"stream that has begun", "/chat/x", []*railproto.Frame{data}, railverdict.MayHaveRun, 200, "event: error\ndata: {\"reason\":\"this entry stops"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			started := make(chan struct{})
			client, front := newFront(c, "", func(ctx context.Context, _ railrequest.Request, s sink) (railverdict.Verdict, *railproto.Frame, error) {
				for _, f := range test.frames {
					c.Check(s("e", f), qt.IsNil)
				}
				close(started)
				<-ctx.Done()
				return test.verdict, nil, ctx.Err()
			})
			go func() {
				<-started
				front.Interrupt()
			}()
			status, body, _ := send(c, client, "POST", test.path, "{}", "Fulmarrail-Customer", "castle")
			c.Check(status, qt.Equals, test.status)
			c.Check(body, qt.Contains, test.want)
			c.Check(body, qt.Contains, "this entry stops")
		})
	}
}
