package railupstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railupstream"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// cutEngine is an engine that writes the beginning of a response to each request and closes or resets its connection.
type cutEngine struct {
	listener net.Listener
	text     string
	reset    bool
	// ends is set if the engine's process ends together with the connection.
	ends bool
}

func startCutEngine(t *testing.T, e *cutEngine) *railupstream.Client {
	t.Helper()
	var err error
	e.listener, err = net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = e.listener.Close() })
	go e.serve()
	return &railupstream.Client{Address: e.listener.Addr().String()}
}

func (e *cutEngine) serve() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, e.text)
		}
		if err == nil && e.ends {
			_ = e.listener.Close()
		}
		if e.reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

// runCut runs a request and returns the verdict, the error and whether the response counted as complete.
func runCut(t *testing.T, client *railupstream.Client) (verdict railverdict.Verdict, complete bool, err error) {
	t.Helper()
	verdict, err = client.Run(t.Context(), &railproto.ExecuteRequest{RequestId: "r", Path: "/", Idempotent: true}, func(f *railproto.Frame) {
		complete = complete || f.GetKind() == railproto.FrameKind_FRAME_KIND_END
	})
	return verdict, complete, err
}

// Guards against a response with an empty or short body that counts as complete, since the engine stopped in the middle of its header or
// body and closed.
func TestResponseThatIsCutAnywhereIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: r\r\n"
	for name, response := range map[string]string{
		"length":    head + "Content-Length: 4\r\n\r\ndone",
		"chunks":    head + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n",
		"no length": head + "\r\n",
		"refusal":   refusal,
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				for length := range response {
					client := startCutEngine(t, &cutEngine{text: response[:length], reset: reset})
					rejectReports(qt.New(t), client)
					verdict, complete, err := runCut(t, client)
					qt.Check(t, verdict, qt.Equals, railverdict.MayHaveRun, qt.Commentf("cut after %d bytes: %v", length, err))
					qt.Check(t, complete, qt.IsFalse)
					qt.Check(t, err, qt.IsNotNil)
				}
			})
		}
	}
}

// Guards against a part of a body that counts as the whole, since the response had no length and its engine ended while it wrote it.
func TestBodyWithoutLengthIsNotCompleteIfItsEngineEnds(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\n\r\nthe first half"
	for name, test := range map[string]struct {
		ends    bool
		verdict railverdict.Verdict
	}{
		"engine ends":    {true, railverdict.MayHaveRun},
		"engine goes on": {false, railverdict.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			verdict, complete, err := runCut(t, startCutEngine(t, &cutEngine{text: response, ends: test.ends}))
			qt.Check(t, verdict, qt.Equals, test.verdict, qt.Commentf("%v", err))
			qt.Check(t, complete, qt.Equals, !test.ends)
			var ended *railendpoint.EndedError
			qt.Check(t, errors.As(err, &ended), qt.Equals, test.ends)
		})
	}
}

// Guards against a part of a body that counts as the whole, since the deadline came while the agent looked whether the engine had ended.
func TestBodyWithoutLengthIsNotCompleteIfTheDeadlineComesFirst(t *testing.T) {
	for name, test := range map[string]struct {
		hangs   bool
		verdict railverdict.Verdict
	}{
		"the engine does not say whether it has ended": {true, railverdict.MayHaveRun},
		"the engine goes on":                           {false, railverdict.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			client, hang := startStatefulEngine(t)
			_, _, err := client.LoadedWeights(t.Context())
			qt.Assert(t, err, qt.IsNil)
			hang.Store(test.hangs)
			ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
			defer cancel()
			complete := false
			verdict, err := client.Run(ctx, &railproto.ExecuteRequest{RequestId: "r", Path: "/", Idempotent: true}, func(f *railproto.Frame) {
				complete = complete || f.GetKind() == railproto.FrameKind_FRAME_KIND_END
			})
			qt.Check(t, verdict, qt.Equals, test.verdict, qt.Commentf("%v", err))
			qt.Check(t, complete, qt.Equals, !test.hangs)
		})
	}
}

// startStatefulEngine starts an engine whose responses have no length. It does not respond to requests for its state while hang is set.
func startStatefulEngine(t *testing.T) (client *railupstream.Client, hang *atomic.Bool) {
	t.Helper()
	hang = &atomic.Bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/state" && hang.Load() {
			<-r.Context().Done()
			return
		}
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n\r\n" + `{"incarnation": "first"}`)
		_ = buffered.Flush()
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	return &railupstream.Client{Address: server.Listener.Addr().String()}, hang
}
