package railgateway_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/node/railgateway"
)

const (
	// drainMessage is the prefix of the log message by which a test learns that the drain has begun, and idleMessage that of the one by which it
	// learns that the drain has dealt with idle connections.
	drainMessage = "gateway draining"
	idleMessage  = "gateway ends idle connections"
	// longDrain is a drain timeout that leaves a request all its time after idle connections have been ended, and shortDrain one that a test reaches.
	longDrain  = 20 * time.Second
	shortDrain = 5 * time.Second
	// eofTimeout is how long a test waits for the end of a connection.
	eofTimeout = 10 * time.Second
)

// holdingListener accepts connections on which the server's first call of Write returns only once release is closed. Its data is
// written before that, or after it if beforeWrite is set.
type holdingListener struct {
	net.Listener
	beforeWrite bool
	// held is closed once the first call of Write is held.
	held, release chan struct{}
}

func (l *holdingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &holdingConn{TCPConn: conn.(*net.TCPConn), listener: l}, nil
}

type holdingConn struct {
	*net.TCPConn
	listener *holdingListener
	once     sync.Once
}

func (c *holdingConn) Write(p []byte) (int, error) {
	if c.listener.beforeWrite {
		c.hold()
	}
	n, err := c.TCPConn.Write(p)
	c.hold()
	return n, err
}

func (c *holdingConn) hold() {
	c.once.Do(func() {
		close(c.listener.held)
		<-c.listener.release
	})
}

// messageHandler closes seen at the first log message with a prefix.
type messageHandler struct {
	slog.Handler
	prefix string
	seen   chan struct{}
	once   *sync.Once
}

func (h messageHandler) Enabled(context.Context, slog.Level) bool {
	return true
}

func (h messageHandler) Handle(_ context.Context, record slog.Record) error {
	if strings.HasPrefix(record.Message, h.prefix) {
		h.once.Do(func() { close(h.seen) })
	}
	return nil
}

func (h messageHandler) WithAttrs([]slog.Attr) slog.Handler {
	return h
}

// drainDeployment is a deployment with one connection, on which the first response is held.
type drainDeployment struct {
	*deployment
	listener *holdingListener
	near     *endpoint
	// draining is closed once the drain has dealt with idle connections.
	draining chan struct{}
	conn     net.Conn
	reader   *bufio.Reader
}

func newDrainDeployment(t *testing.T, drainTimeout time.Duration, beforeWrite bool) *drainDeployment {
	t.Helper()
	d := &drainDeployment{near: &endpoint{name: "near", handlers: sequence(respondOK)}, draining: make(chan struct{})}
	d.deployment = newDrainableDeployment(t, drainTimeout, func(g *railgateway.Gateway) {
		d.listener = &holdingListener{Listener: g.CallerListener, beforeWrite: beforeWrite, held: make(chan struct{}), release: make(chan struct{})}
		g.CallerListener = d.listener
		g.Log = slog.New(messageHandler{Handler: slog.DiscardHandler, prefix: idleMessage, seen: d.draining, once: &sync.Once{}})
	}, d.near)
	conn, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(eofTimeout)), qt.IsNil)
	d.conn, d.reader = conn, bufio.NewReader(conn)
	return d
}

// request returns a request with the given ID as it is sent on a connection.
func request(id string) string {
	return requestTo("/safe/x", id)
}

func requestTo(path, id string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: host.example\r\n" + idHeader + ": " + id + "\r\nX-Fulmarrail-Request-Deadline: 5000\r\nAuthorization: Token " + validKey + "\r\n\r\n"
}

func (d *drainDeployment) write(t *testing.T, data string) {
	t.Helper()
	_, err := io.WriteString(d.conn, data)
	qt.Assert(t, err, qt.IsNil)
}

// readResponse reads a complete response.
func (d *drainDeployment) readResponse(t *testing.T) {
	t.Helper()
	resp, err := http.ReadResponse(d.reader, nil)
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.Body.Close(), qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
	qt.Check(t, string(body), qt.Equals, "done")
}

// Guards against a connection that stays open because the drain looked for idle connections after the caller had read its response
// but before the server marked the connection as idle.
func TestDrainClosesConnectionThatBecomesIdleLater(t *testing.T) {
	d := newDrainDeployment(t, longDrain, false)
	d.write(t, request("id-1"))
	d.readResponse(t)
	<-d.listener.held
	d.stop()
	<-d.draining
	close(d.listener.release)
	_, err := d.reader.ReadByte()
	qt.Check(t, err, qt.ErrorIs, io.EOF)
	qt.Check(t, <-d.stopped, qt.IsNil)
}

// Guards against the drain closing a connection on which the next request has arrived already, in full or in part.
func TestDrainAnswersRequestThatHasArrived(t *testing.T) {
	first, second := request("id-1"), request("id-2")
	half := len(second) / 2
	for name, sent := range map[string]struct{ first, beforeDrain, afterDrain string }{
		"after the first response":              {first, second, ""},
		"together with the first request":       {first + second, "", ""},
		"in part after the first response":      {first, second[:half], second[half:]},
		"in part together with the first one":   {first + second[:half], "", second[half:]},
		"in part on both sides of the response": {first + second[:half], second[half:], ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDrainDeployment(t, longDrain, false)
			d.write(t, sent.first)
			<-d.listener.held
			d.write(t, sent.beforeDrain)
			d.stop()
			<-d.draining
			close(d.listener.release)
			d.readResponse(t)
			d.write(t, sent.afterDrain)
			d.readResponse(t)
			_, err := d.reader.ReadByte()
			qt.Check(t, err, qt.ErrorIs, io.EOF)
			qt.Check(t, d.near.requests(), qt.HasLen, 2)
			qt.Check(t, <-d.stopped, qt.IsNil)
		})
	}
}

// Guards against a caller reusing a connection that is about to be closed: the response to a request from before the drain must
// announce the end of its connection.
func TestResponseDuringDrainAnnouncesEndOfConnection(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		respond func(http.ResponseWriter, *http.Request)
	}{
		"whole response": {"/unsafe/x", respondOK},
		"stream":         {"/stream/x", respondEvents(1, 2, true)},
	} {
		t.Run(name, func(t *testing.T) {
			started, release, draining := make(chan struct{}), make(chan struct{}), make(chan struct{})
			near := &endpoint{name: "near", handlers: sequence(func(w http.ResponseWriter, r *http.Request) {
				close(started)
				<-release
				test.respond(w, r)
			})}
			d := newCustomDeployment(t, func(g *railgateway.Gateway) {
				g.Log = slog.New(messageHandler{Handler: slog.DiscardHandler, prefix: drainMessage, seen: draining, once: &sync.Once{}})
			}, near)
			responses := make(chan response, 1)
			go func() { responses <- d.call(t, test.path, validKey) }()
			<-started
			d.stop()
			<-draining
			close(release)
			got := <-responses
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.status, qt.Equals, http.StatusOK)
			qt.Check(t, got.close, qt.IsTrue)
		})
	}
}

// Guards against the process ending between the end of a request's handling and the writing of its response: the drain must not
// complete while a response is unwritten.
func TestDrainWaitsUntilResponsesAreWritten(t *testing.T) {
	for name, path := range map[string]string{"response of an endpoint": "/safe/x", "rejection": "/none/x"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDrainDeployment(t, shortDrain, true)
			defer close(d.listener.release)
			d.write(t, requestTo(path, "id-1"))
			<-d.listener.held
			d.stop()
			qt.Check(t, <-d.stopped, qt.ErrorMatches, "drain timed out with 1 requests in flight")
		})
	}
}
