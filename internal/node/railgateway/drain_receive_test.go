package railgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/node/railgateway"
)

// slowHead is the head of a request of which the rest follows later. Its body has ten bytes.
const slowHead = "POST /unsafe/x HTTP/1.1\r\nHost: host.example\r\n" + idHeader + ": id-1\r\nX-Fulmarrail-Request-Deadline: 1500\r\nAuthorization: Token " + validKey + "\r\n"

// slowRequest is a request that arrives in two parts.
type slowRequest struct {
	first, rest string
	// interim is set if the caller waits for an interim response after the first part.
	interim bool
}

func slowRequests() map[string]slowRequest {
	const head = slowHead + "Content-Length: 10\r\n\r\n"
	return map[string]slowRequest{
		"in the head":            {first: head[:len(head)/2], rest: head[len(head)/2:] + "0123456789"},
		"in the body":            {first: head + "01234", rest: "56789"},
		"in a chunked body":      {first: slowHead + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n", rest: "5\r\n56789\r\n0\r\n\r\n"},
		"in the size of a chunk": {first: slowHead + "Transfer-Encoding: chunked\r\n\r\n5\r", rest: "\n01234\r\n5\r\n56789\r\n0\r\n\r\n"},
		"before the body":        {first: slowHead + "Content-Length: 10\r\nExpect: 100-continue\r\n\r\n", rest: "0123456789", interim: true},
		"in the second of two":   {first: request("id-0") + head + "01234", rest: "56789"},
	}
}

// sendSlowly sends the first part of a request, and reads what is due for it.
func (d *deployment) sendSlowly(t *testing.T, request slowRequest) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(eofTimeout)), qt.IsNil)
	_, err = io.WriteString(conn, request.first)
	qt.Assert(t, err, qt.IsNil)
	reader := bufio.NewReader(conn)
	switch {
	case request.interim:
		qt.Assert(t, readFrom(t, reader).status, qt.Equals, http.StatusContinue)
	case strings.Contains(request.first, "id-0"):
		qt.Assert(t, readFrom(t, reader).status, qt.Equals, http.StatusOK)
	}
	return conn, reader
}

// readFrom reads a complete response.
func readFrom(t *testing.T, r *bufio.Reader) response {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, resp.Body.Close(), qt.IsNil)
	return response{status: resp.StatusCode, close: resp.Close, header: resp.Header, body: string(body)}
}

// Guards against a request that is cut without an answer, since it takes more than a second to arrive while the entry stops.
func TestRequestThatArrivesSlowlyDuringDrainIsAnswered(t *testing.T) {
	for name, request := range slowRequests() {
		for _, pause := range []time.Duration{1500 * time.Millisecond, 2600 * time.Millisecond, 3500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %s", name, pause), func(t *testing.T) {
				t.Parallel()
				near := &endpoint{name: "near", handlers: sequence(respondOK)}
				d, draining := newDrainWatchedDeployment(t, 8*time.Second, near)
				conn, reader := d.sendSlowly(t, request)
				answered := len(near.requests())
				d.stop()
				<-draining
				time.Sleep(pause)
				_, err := io.WriteString(conn, request.rest)
				qt.Assert(t, err, qt.IsNil)
				status := readFrom(t, reader).status
				qt.Check(t, status == http.StatusOK || status == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("%d", status))
				qt.Check(t, len(near.requests())-answered == 1, qt.Equals, status == http.StatusOK)
				_, err = reader.ReadByte()
				qt.Check(t, err, qt.ErrorIs, io.EOF)
				qt.Check(t, <-d.stopped, qt.IsNil)
			})
		}
	}
}

// Guards against a request that ends without a word, since it has not arrived in full when the grace period ends: its caller must learn that it has
// not run, also if it still sends.
func TestEndOfDrainRejectsRequestThatHasNotArrived(t *testing.T) {
	for name, request := range slowRequests() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			near := &endpoint{name: "near", handlers: sequence(respondOK)}
			d := newDrainableDeployment(t, time.Second, func(*railgateway.Gateway) {}, near)
			_, reader := d.sendSlowly(t, request)
			answered := len(near.requests())
			d.stop()
			got := readFrom(t, reader)
			qt.Check(t, got.status, qt.Equals, http.StatusServiceUnavailable)
			qt.Check(t, got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
			qt.Check(t, got.close, qt.IsTrue)
			qt.Check(t, near.requests(), qt.HasLen, answered)
			qt.Check(t, <-d.stopped, qt.IsNil)
		})
	}
}

// Guards against a drain that waits for callers which have opened a connection and send nothing.
func TestDrainDoesNotWaitForConnectionWithoutRequest(t *testing.T) {
	const drainTimeout = 8 * time.Second
	d := newDrainableDeployment(t, drainTimeout, func(*railgateway.Gateway) {}, &endpoint{name: "near", handlers: sequence(respondOK)})
	_, reader := d.sendSlowly(t, slowRequest{})
	start := time.Now()
	d.stop()
	_, err := reader.ReadByte()
	qt.Check(t, err, qt.ErrorIs, io.EOF)
	qt.Check(t, <-d.stopped, qt.IsNil)
	qt.Check(t, time.Since(start) < drainTimeout, qt.IsTrue)
}

// Guards against a response that is not written until the next request on its connection has arrived in full.
func TestResponseDoesNotWaitForNextRequest(t *testing.T) {
	d := newDeployment(t, &endpoint{name: "near", handlers: sequence(respondOK)})
	d.sendSlowly(t, slowRequests()["in the second of two"])
}
