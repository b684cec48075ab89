package railupstream_test

import (
	"context"
	"io"
	"maps"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railupstream"
	"github.com/fulmarrail/fulmarrail/internal/lab/railrawserver"
	"github.com/fulmarrail/fulmarrail/internal/request/railheader"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// reportLines is all that an endpoint can say of itself.
	reportLines = railendpoint.LeavingHeader + ": 1\r\n" + railendpoint.LimitHeader + ": 0.5\r\nRetry-After: 40\r\n"
	// uploadBytes is more than the buffers of both sockets of a connection hold.
	uploadBytes = 4 << 20
	// uploads is the number of plays of a case whose outcome depends on whether the sender or the reader finds the reset first.
	uploads    = 5
	resetDelay = 30 * time.Millisecond
	stateBody  = `{"digest":"a","incarnation":"e"}`
	stateLines = "Content-Length: 32\r\n\r\n" + stateBody
)

// brokenAnswers are responses that are none in the protocol. They state all that could make an agent act on them.
var brokenAnswers = map[string]string{
	"status 000":                     "HTTP/1.1 000 OK\r\n" + reportLines + stateLines,
	"status 000 without a length":    "HTTP/1.1 000 OK\r\nConnection: close\r\n" + reportLines + "\r\n" + stateBody,
	"status 000 in events":           "HTTP/1.1 000 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-First-Event: 2\r\n" + reportLines + "\r\n" + lastEvents,
	"status 000 after informational": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + reportLines + stateLines,
	"status 999":                     "HTTP/1.1 999 Text\r\n" + reportLines + stateLines,
	"blank in a name":                "HTTP/1.1 200 OK\r\n" + reportLines + "X Odd: 1\r\n" + stateLines,
	"blank after a name":             "HTTP/1.1 200 OK\r\n" + reportLines + "X-Odd : 1\r\n" + stateLines,
	"control byte in a name":         "HTTP/1.1 200 OK\r\n" + reportLines + "X\x01Odd: 1\r\n" + stateLines,
	"blank in events":                streamHead + "X-First-Event: 2\r\n" + reportLines + "X Odd: 1\r\n\r\n" + lastEvents,
	"blank after a length":           "HTTP/1.1 200 OK\r\n" + reportLines + "Content-Length : 32\r\n\r\n" + stateBody + "more",
	"blank in a refusal's name":      "HTTP/1.1 503 Service Unavailable\r\n" + reportLines + "X Odd: 1\r\n" + stateLines,
	"blank in a stale fence's name":  "HTTP/1.1 412 Precondition Failed\r\n" + reportLines + "X Odd: 1\r\n" + stateLines,
}

// truncatedAnswers are responses that break off in their body. All of them state their length, or have chunks.
var truncatedAnswers = map[string]string{
	"refusal":           "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n" + reportLines + "Content-Length: 9\r\n\r\nfull",
	"refusal in chunks": "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n" + reportLines + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n",
	"spoilt chunks":     "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n" + reportLines + "Transfer-Encoding: chunked\r\n\r\nzz\r\nfull\r\n0\r\n\r\n",
	"stale fence":       "HTTP/1.1 412 Precondition Failed\r\nConnection: close\r\n" + reportLines + "Content-Length: 9\r\n\r\nfull",
	"success":           "HTTP/1.1 200 OK\r\nConnection: close\r\n" + reportLines + "Content-Length: 90\r\n\r\n" + stateBody,
	"failure":           "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\n" + reportLines + "Content-Length: 9\r\n\r\nfull",
	"events":            streamHead + reportLines + "Content-Length: 90\r\n\r\ndata: {\"weig",
}

// rejectReports makes the test fail if the client takes over what an endpoint says of itself.
func rejectReports(c *qt.C, client *railupstream.Client) {
	client.OnReport = func(incarnation string, said railheader.SelfReport) { c.Errorf("report of %q: %+v", incarnation, said) }
	client.OnLimit = func(r railendpoint.LimitReport) { c.Errorf("limit: %+v", r) }
}

// allBrokenAnswers returns the broken and the truncated answers.
func allBrokenAnswers() map[string]string {
	all := maps.Clone(truncatedAnswers)
	maps.Copy(all, brokenAnswers)
	return all
}

// Guards against broken answers of an endpoint that callers get, that count as a refusal, or that say something of the endpoint.
func TestBrokenAnswerIsNeitherPassedOnNorProof(t *testing.T) {
	for name, answer := range allBrokenAnswers() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			engine := startRawEngine(c, answer)
			rejectReports(c, engine.Client)
			verdict, err := engine.Run(t.Context(), &railproto.ExecuteRequest{RequestId: "r", Path: "/", Idempotent: true}, func(f *railproto.Frame) {
				c.Errorf("frame: %v", f)
			})
			c.Check(err, qt.IsNotNil)
			c.Check(verdict, qt.Equals, railverdict.MayHaveRun)
		})
	}
}

// Guards against streams that go on with a broken answer.
func TestBrokenAnswerDoesNotResumeAStream(t *testing.T) {
	for name, answer := range allBrokenAnswers() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			engine := startRawEngine(c, streamHead+"\r\n"+firstEvents, answer)
			reports, frames := 0, 0
			engine.OnReport = func(string, railheader.SelfReport) { reports++ }
			verdict, err := engine.Run(t.Context(), &railproto.ExecuteRequest{RequestId: "r", Path: "/", Idempotent: true}, func(*railproto.Frame) { frames++ })
			c.Check(err, qt.IsNotNil)
			c.Check(verdict, qt.Equals, railverdict.MayHaveRun)
			c.Check(frames, qt.Equals, 2)
			c.Check(reports, qt.Equals, 1, qt.Commentf("only the stream's first response says something of the endpoint"))
		})
	}
}

// Guards against requests that wait for their deadline at an endpoint that has begun to refuse them.
func TestRefusalThatDoesNotEndIsNoProof(t *testing.T) {
	c := qt.New(t)
	engine := startRawEngine(c, strings.Replace(truncatedAnswers["refusal"], "Connection: close\r\n", "", 1))
	rejectReports(c, engine.Client)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	verdict, err := engine.Run(ctx, &railproto.ExecuteRequest{RequestId: "r", Path: "/", Idempotent: true}, func(*railproto.Frame) {})
	c.Check(err, qt.IsNotNil)
	c.Check(verdict, qt.Equals, railverdict.MayHaveRun)
	c.Check(ctx.Err(), qt.IsNil, qt.Commentf("the request lasted until its deadline"))
}

// Guards against control requests that count as done, or as refused because of a newer fencing token, since the answer was broken.
func TestBrokenAnswerToControlRequestIsAnError(t *testing.T) {
	for name, call := range map[string]func(context.Context, *railupstream.Client) error{
		"read the weights": func(ctx context.Context, e *railupstream.Client) error { _, _, err := e.LoadedWeights(ctx); return err },
		"load weights": func(ctx context.Context, e *railupstream.Client) error {
			return e.LoadWeights(ctx, []byte("manifest"), 1)
		},
		"list chunks": func(ctx context.Context, e *railupstream.Client) error { _, err := e.Chunks(ctx); return err },
		"put a chunk": func(ctx context.Context, e *railupstream.Client) error {
			return e.PutChunk(ctx, "digest", []byte("data"))
		},
		"read a chunk": func(ctx context.Context, e *railupstream.Client) error { _, err := e.Chunk(ctx, "digest"); return err },
		"keep chunks":  func(ctx context.Context, e *railupstream.Client) error { return e.Keep(ctx, []string{"digest"}) },
	} {
		for kind, answer := range allBrokenAnswers() {
			t.Run(name+", "+kind, func(t *testing.T) {
				c := qt.New(t)
				engine := startRawEngine(c, answer)
				rejectReports(c, engine.Client)
				err := call(t.Context(), engine.Client)
				c.Check(err, qt.IsNotNil)
				c.Check(errors.Is(err, railendpoint.ErrStaleFence), qt.IsFalse)
			})
		}
	}
}

// Guards against a part of an answer that counts as the whole, and against chunks and loads that count as done, since the answer had no length and its
// connection was reset while the request was still being sent.
func TestEarlyAnswerThatIsResetIsNotComplete(t *testing.T) {
	body := make([]byte, uploadBytes)
	client := &railupstream.Client{Address: railrawserver.StartEarly(t, "HTTP/1.1 200 OK\r\n\r\npart", func(conn *net.TCPConn, _ io.Reader) {
		time.Sleep(resetDelay)
		_ = conn.SetLinger(0)
	})}
	for range uploads {
		c := qt.New(t)
		verdict, err := client.Run(t.Context(), &railproto.ExecuteRequest{RequestId: "r", Path: "/", Body: body}, func(f *railproto.Frame) { c.Errorf("frame: %v", f) })
		c.Check(err, qt.IsNotNil)
		c.Check(verdict, qt.Equals, railverdict.MayHaveRun)
		c.Check(client.PutChunk(t.Context(), "digest", body), qt.IsNotNil)
		c.Check(client.LoadWeights(t.Context(), body, 1), qt.IsNotNil)
	}
}
