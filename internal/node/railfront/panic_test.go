package railfront_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/config/railfile"
	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
	"github.com/fulmarrail/fulmarrail/internal/config/railservice"
	"github.com/fulmarrail/fulmarrail/internal/node/railconn"
	"github.com/fulmarrail/fulmarrail/internal/node/railfront"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// panicKey is the idempotency key of requests that panic.
const panicKey = "panic"

// Guards against a panic in the work of one request that ends the process, and with it all requests without an answer.
func TestPanicEndsOnlyItsRequestWithFinalResponse(t *testing.T) {
	for name, test := range map[string]struct {
		path, step string
		// status is that of the response, and verdict its header.
		status  int
		verdict string
	}{
		"configuration is read":     {"/orders/x", "configuration", 503, "notRun"},
		"request is refused":        {"/orders/x", "refusal", 503, "notRun"},
		"before the response":       {"/orders/x", "forward", 502, "mayHaveRun"},
		"in the response":           {"/orders/x", "part", 502, "mayHaveRun"},
		"response is recorded":      {"/orders/x", "record", 200, "ran"},
		"response is complete":      {"/orders/x", "complete", 200, "ran"},
		"stream is complete":        {"/chat/x", "complete", 200, ""},
		"before the first event":    {"/chat/x", "forward", 502, "mayHaveRun"},
		"in the stream":             {"/chat/x", "part", 200, ""},
		"end of stream is recorded": {"/chat/x", "record", 200, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			revision, _, err := railrevision.Revision{}.Next(railfolder.Folder{Stamp: 1}.WithFile(railfile.File{Name: "10.ini", Stamp: 1, Content: configFile}))
			c.Assert(err, qt.IsNil)
			release := make(chan struct{})
			panics := make(chan struct{}, 1)
			front := newPanickingFront(c, revision, test.step, panics, release)
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			server := &fasthttp.Server{Handler: front.Handle}
			go func() { _ = server.Serve(&railconn.Listener{Listener: lis}) }()
			t.Cleanup(func() { _ = lis.Close() })
			url := "http://" + lis.Addr().String()
			other := make(chan answer, 1)
			go func() { other <- post(c, url+"/orders/x", "other") }()
			for front.Running() == 0 {
				time.Sleep(time.Millisecond)
			}
			if test.step == "configuration" || test.step == "refusal" {
				panics <- struct{}{}
			}
			got := post(c, url+test.path, panicKey)
			c.Check(got.err, qt.IsNil)
			c.Check(got.status, qt.Equals, test.status)
			c.Check(got.verdict, qt.Equals, test.verdict)
			c.Check(got.body, qt.Not(qt.Contains), "panic")
			c.Check(strings.Contains(got.body, "event: end"), qt.Equals, test.path == "/chat/x" && (test.step == "record" || test.step == "complete"))
			c.Check(strings.Contains(got.body, "event: error"), qt.Equals, test.path == "/chat/x" && test.step == "part")
			close(release)
			c.Check((<-other).status, qt.Equals, http.StatusOK)
			c.Check(post(c, url+"/orders/x", "later").status, qt.Equals, http.StatusOK)
			for deadline := time.Now().Add(10 * time.Second); front.Running() > 0; time.Sleep(time.Millisecond) {
				c.Assert(time.Now().Before(deadline), qt.IsTrue)
			}
		})
	}
}

// newPanickingFront returns a front that panics at a step of a request with panicKey, or, before its key is known, of one for each value in panics. It
// answers others once release is closed.
func newPanickingFront(c *qt.C, revision railrevision.Revision, step string, panics <-chan struct{}, release <-chan struct{}) *railfront.Front {
	part := &railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_DATA, Data: []byte(`{"token":"t"}`), WeightsDigest: "w"}
	end := &railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_END, Count: 1, Status: 200, ContentType: "text/plain", WeightsDigest: "w"}
	return &railfront.Front{
		Revision: func() (railrevision.Revision, bool) {
			select {
			case <-panics:
				panic("at the configuration")
			default:
				return revision, true
			}
		},
		RejectionReason: func(railservice.Service) string {
			if step == "refusal" && len(panics) > 0 {
				<-panics
				panic("at the refusal")
			}
			return ""
		},
		Forward: func(_ context.Context, req railrequest.Request, s func(string, *railproto.Frame) error) (railverdict.Verdict, *railproto.Frame, error) {
			if req.Key != panicKey {
				<-release
			} else if step == "forward" {
				panic("before the response")
			}
			c.Check(s("e", part), qt.IsNil)
			if req.Key == panicKey && step == "part" {
				panic("in the response")
			}
			c.Check(s("e", end), qt.IsNil)
			if req.Key == panicKey && step == "complete" {
				panic("after the response")
			}
			return railverdict.Ran, end, nil
		},
		Observe: func(req railrequest.Request, _ railverdict.Verdict, _, _ time.Duration) {
			if req.Key == panicKey && step == "record" {
				panic("at the record")
			}
		},
		Log: slog.New(slog.DiscardHandler),
	}
}

// answer is what a caller has received; err is that of reading the body.
type answer struct {
	status        int
	verdict, body string
	err           error
}

// post sends a request on a connection of its own.
func post(c *qt.C, url, key string) answer {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("{}"))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Fulmarrail-Customer", "castle")
	req.Header.Set("Idempotency-Key", key)
	conn, err := net.Dial("tcp", req.URL.Host)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	c.Assert(req.Write(conn), qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, verdict: resp.Header.Get("Fulmarrail-Verdict"), body: string(body), err: err}
}
