package railgateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
)

// cutAnswer is the beginning of an engine's response, after which it closes or resets the connection.
type cutAnswer struct {
	text  string
	reset bool
}

// write writes the beginning of the response.
func (a *cutAnswer) write(conn *net.TCPConn, _ *http.Request) {
	_, _ = io.WriteString(conn, a.text)
	if a.reset {
		_ = conn.SetLinger(0)
	}
}

// Guards against a success with an empty or short body that looks complete, since the engine stopped in the middle of its response's
// header or body and closed.
func TestAnswerThatIsCutAnywhereIsNotPassedOnAsComplete(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\n" + sealHeader + ": seal\r\n" + idHeader + ": id-1\r\n"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
		events  = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	)
	var answer atomic.Pointer[cutAnswer]
	near := &rawEngine{name: "near", respond: func(conn *net.TCPConn, r *http.Request) { answer.Load().write(conn, r) }}
	far := &rawEngine{name: "far", respond: respondRaw(404, "ID\r\n", "none")}
	d := newRawDeployment(t, near, far)
	instances := d.gateway.Fleet.Snapshot() // Sorted by ID.
	farInstance, nearInstance := instances[0].Instance, instances[1].Instance
	for name, c := range map[string]struct{ path, head, body string }{
		"length":                  {"/unsafe/x", head + "Content-Length: 4\r\n\r\n", "done"},
		"length first":            {"/unsafe/x", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + sealHeader + ": seal\r\n" + idHeader + ": id-1\r\n\r\n", "done"},
		"chunks":                  {"/unsafe/x", head + chunked, "4\r\ndone\r\n0\r\n\r\n"},
		"no length":               {"/unsafe/x", head + "\r\n", ""},
		"bare lines":              {"/unsafe/x", strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 4\n\n", "done"},
		"stream in chunks":        {"/stream/x", head + chunked, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(events), events)},
		"stream with a length":    {"/stream/x", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(events)), events},
		"stream without a length": {"/stream/x", head + "\r\n", ""},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				text := c.head + c.body
				for length := range len(text) - len("\r\n") {
					answer.Store(&cutAnswer{text: text[:length], reset: reset})
					nearInstance.StartMillis++ // A new instance has no failures.
					d.gateway.Fleet.SetInstances([]railinstance.Instance{nearInstance, farInstance})
					before := near.arrivals.Load()
					got := d.call(t, c.path, validKey)
					qt.Check(t, near.arrivals.Load(), qt.Equals, before+1)
					complete := got.err == nil && got.status < http.StatusMultipleChoices
					qt.Check(t, complete, qt.IsFalse, qt.Commentf("cut after %d bytes: %d %q", length, got.status, got.body))
				}
			})
		}
	}
}
