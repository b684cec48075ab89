package railentry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// readTimeout bounds the wait for a response.
const readTimeout = 20 * time.Second

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func (d *drainDeployment) connect(t *testing.T) *callerConn {
	t.Helper()
	conn, err := net.Dial("tcp", d.address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(readTimeout)), qt.IsNil)
	return &callerConn{Conn: conn, reader: bufio.NewReader(conn)}
}

func requestTo(path, body, headers string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: entry\r\nFulmarrail-Customer: harbour\r\n" + headers + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func (c *callerConn) send(t *testing.T, path, body, headers string) {
	t.Helper()
	_, err := io.WriteString(c, requestTo(path, body, headers))
	qt.Assert(t, err, qt.IsNil)
}

// response is a complete response. If the connection ended without one, err is set.
type response struct {
	status        int
	verdict, body string
	// endpoint is the name of the endpoint that has responded.
	endpoint string
	// closes is set if the response announces the end of its connection.
	closes bool
	err    error
}

// receive reads the next response.
func (c *callerConn) receive(t *testing.T) response {
	t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return response{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, resp.Body.Close(), qt.IsNil)
	return response{status: resp.StatusCode, verdict: resp.Header.Get("Fulmarrail-Verdict"), endpoint: resp.Header.Get("Fulmarrail-Endpoint"), body: string(body), closes: resp.Close, err: err}
}
