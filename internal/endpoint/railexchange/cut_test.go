package railexchange_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railexchange"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
)

// cutResponses are complete responses by how their body ends. The last header of each decides that.
var cutResponses = map[string]struct{ head, body string }{
	"length":              {"HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Seal: s\r\nContent-Length: 12\r\n\r\n", "hello, world"},
	"length, empty":       {"HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n", ""},
	"chunks":              {"HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n"},
	"no length":           {"HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Seal: s\r\nConnection: close\r\n\r\n", "hello, world"},
	"no header":           {"HTTP/1.1 200 OK\r\n\r\n", "hello, world"},
	"older protocol":      {"HTTP/1.0 200 OK\r\nX-Id: r\r\nContent-Length: 12\r\n\r\n", "hello, world"},
	"after informational": {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 12\r\n\r\n", "hello, world"},
}

// startCutServer starts an endpoint that responds to a request with the first bytes of a response, as many as its path says, and closes or
// resets the connection.
func startCutServer(t *testing.T, response string, reset bool) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			var h fasthttp.RequestHeader
			var length int
			if h.Read(bufio.NewReader(conn)) == nil {
				_, err = fmt.Sscanf(string(h.RequestURI()), "/%d", &length)
			}
			if err == nil {
				_, _ = io.WriteString(conn, response[:length])
			}
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	return lis.Addr().String()
}

func startCutExchange(t *testing.T, address string, length int) (*railexchange.Exchange, railverdict.Verdict, error) {
	t.Helper()
	req := &fasthttp.Request{}
	req.SetRequestURI(fmt.Sprintf("/%d", length))
	req.Header.SetHost("host.example")
	return railexchange.Start(t.Context(), address, req)
}

// Guards against a success with an empty or short body, since the endpoint stopped in the middle of its response's header or body.
func TestResponseThatIsCutAnywhereIsNotComplete(t *testing.T) {
	for name, c := range cutResponses {
		for _, bareLines := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, bare lines %t, reset %t", name, bareLines, reset), func(t *testing.T) {
					head, body := c.head, c.body
					if bareLines {
						head = strings.ReplaceAll(head, "\r\n", "\n")
					}
					address := startCutServer(t, head+body, reset)
					endsWithConnection := !strings.Contains(head, "Content-Length") && !strings.Contains(head, "chunked")
					for length := range len(head) + len(body) {
						if bareLines {
							checkCutBareLines(t, address, length, endsWithConnection)
							continue
						}
						checkCut(t, address, length, length >= len(head), endsWithConnection, reset)
					}
				})
			}
		}
	}
}

// checkCut checks that the first bytes of a response are not taken for a complete one, unless only the end of the connection ends it.
func checkCut(t *testing.T, address string, length int, headComplete, endsWithConnection, reset bool) {
	t.Helper()
	e, verdict, err := startCutExchange(t, address, length)
	if err != nil {
		qt.Check(t, verdict, qt.Equals, railverdict.MayHaveRun)
		qt.Check(t, headComplete && !reset, qt.IsFalse, qt.Commentf("cut after %d bytes: %v", length, err))
		return
	}
	defer e.Close()
	qt.Assert(t, headComplete, qt.IsTrue, qt.Commentf("cut after %d bytes, within the header", length))
	qt.Check(t, e.EndsWithConnection(), qt.Equals, endsWithConnection)
	body, err := e.ReadAll(1000, nil)
	if endsWithConnection && !reset {
		qt.Check(t, err, qt.IsNil)
		return
	}
	if err == nil && string(body) == "hello, world" {
		return // The last chunk is there, and only the end of the line after it is missing.
	}
	qt.Check(t, errors.Is(err, railexchange.ErrTruncated), qt.IsTrue, qt.Commentf("cut after %d bytes: %q, %v", length, body, err))
}

// checkCutBareLines is like checkCut for a header whose lines end without a carriage return, which is an error in itself.
func checkCutBareLines(t *testing.T, address string, length int, endsWithConnection bool) {
	t.Helper()
	e, verdict, err := startCutExchange(t, address, length)
	if err != nil {
		qt.Check(t, verdict, qt.Equals, railverdict.MayHaveRun)
		return
	}
	defer e.Close()
	body, err := e.ReadAll(1000, nil)
	qt.Check(t, err == nil && !endsWithConnection && string(body) != "hello, world", qt.IsFalse, qt.Commentf("cut after %d bytes: %q", length, body))
}
