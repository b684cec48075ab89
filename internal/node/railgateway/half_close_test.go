package railgateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/node/railgateway"
)

// Guards against an endpoint that works on for a caller that has left, and against silence towards one that has closed its connection only for
// sending: the two look the same, so the work is ended, and what has not begun gets a final response.
func TestCallerThatClosesForSendingCountsAsOneThatHasLeft(t *testing.T) {
	for name, phase := range endingPhases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			near, far := &endpoint{name: "near"}, &endpoint{name: "far", handlers: sequence(respondNotRun)}
			d := newDrainableDeployment(t, requestTimeout, func(*railgateway.Gateway) {}, near, far)
			reached := make(chan struct{}, 1)
			_ = phase.reach(d, near, far, reached) // The request does not go on by itself.
			conn, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(func() { _ = conn.Close() })
			qt.Assert(t, conn.SetReadDeadline(time.Now().Add(eofTimeout)), qt.IsNil)
			_, err = io.WriteString(conn, strings.TrimSuffix(requestTo(phase.path, "id-1"), "\r\n")+promptHeader+": "+sharedPart+":10,b2:10\r\n\r\n")
			qt.Assert(t, err, qt.IsNil)
			<-reached
			qt.Assert(t, conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
			status, err := readWholeResponse(conn)
			switch {
			case phase.begun:
				qt.Check(t, err, qt.IsNotNil)
			case phase.sent:
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, status, qt.Equals, http.StatusBadGateway)
			default:
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable)
				qt.Check(t, near.requests(), qt.HasLen, 0)
			}
			for d.gateway.Report().Running > 0 {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// readWholeResponse reads a response and returns its status, or an error if it is not complete.
func readWholeResponse(r io.Reader) (int, error) {
	resp, err := http.ReadResponse(bufio.NewReader(r), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
