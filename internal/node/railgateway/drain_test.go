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
	// drainMessage is the prefix of the log message by which a test learns that the drain has dealt with the open connections.
	drainMessage = "gateway draining"
	// longDrain is a drain timeout that leaves a request all its time, and shortDrain one that a test reaches.
	longDrain  = 20 * time.Second
	shortDrain = 5 * time.Second
	// maxReads is more calls of Read than a test makes on the connections of a holdingListener.
	maxReads = 1000
	// eofTimeout is how long a test waits for the end of a connection.
	eofTimeout = 10 * time.Second
)

// holdingListener accepts connections, on the first of which the server's first call of Write returns only once release is closed. Its data is
// written before that, or after it if beforeWrite is set.
type holdingListener struct {
	net.Listener
	beforeWrite bool
	once        sync.Once
	// held is closed once the first call of Write is held.
	held, release chan struct{}
	// reads receives a value for each call of Read that begins after release has been closed.
	reads chan struct{}
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
}

func (c *holdingConn) Write(p []byte) (int, error) {
	if c.listener.beforeWrite {
		c.hold()
	}
	n, err := c.TCPConn.Write(p)
	c.hold()
	return n, err
}

func (c *holdingConn) Read(p []byte) (int, error) {
	select {
	case <-c.listener.release:
		c.listener.reads <- struct{}{}
	default:
	}
	return c.TCPConn.Read(p)
}

func (c *holdingConn) hold() {
	c.listener.once.Do(func() {
		close(c.listener.held)
		<-c.listener.release
	})
}

// callingHandler calls a function at each log message with a prefix.
type callingHandler struct {
	slog.Handler
	prefix string
	call   func()
}

func (h callingHandler) Enabled(context.Context, slog.Level) bool {
	return true
}

func (h callingHandler) Handle(_ context.Context, record slog.Record) error {
	if strings.HasPrefix(record.Message, h.prefix) {
		h.call()
	}
	return nil
}

func (h callingHandler) WithAttrs([]slog.Attr) slog.Handler {
	return h
}

// newMessageHandler returns a handler that closes seen at the first log message with a prefix.
func newMessageHandler(prefix string, seen chan<- struct{}) slog.Handler {
	var once sync.Once
	return callingHandler{Handler: slog.DiscardHandler, prefix: prefix, call: func() { once.Do(func() { close(seen) }) }}
}

// drainDeployment is a deployment with a connection on which the first response is held.
type drainDeployment struct {
	*deployment
	listener *holdingListener
	near     *endpoint
	// draining is closed once the drain has dealt with the open connections.
	draining chan struct{}
	conn     net.Conn
	reader   *bufio.Reader
}

// newDrainDeployment returns a deployment whose endpoint serves requests with the handlers in turn.
func newDrainDeployment(t *testing.T, drainTimeout time.Duration, beforeWrite bool, handlers ...handler) *drainDeployment {
	t.Helper()
	d := &drainDeployment{near: &endpoint{name: "near", handlers: handlers}, draining: make(chan struct{})}
	d.deployment = newDrainableDeployment(t, drainTimeout, func(g *railgateway.Gateway) {
		d.listener = &holdingListener{Listener: g.CallerListener, beforeWrite: beforeWrite, held: make(chan struct{}), release: make(chan struct{}), reads: make(chan struct{}, maxReads)}
		g.CallerListener = d.listener
		g.Log = slog.New(newMessageHandler(drainMessage, d.draining))
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
	started, release := make(chan struct{}, 1), make(chan struct{})
	d := newDrainDeployment(t, longDrain, false, respondOK, respondInParts(started, release, respondNothing, respondOK))
	d.write(t, request("id-1"))
	d.readResponse(t)
	<-d.listener.held
	responses := make(chan response, 1)
	go func() { responses <- d.call(t, "/unsafe/x", validKey) }() // Until it is answered, the process doesn't end.
	<-started
	d.stop()
	<-d.draining
	close(d.listener.release)
	_, err := d.reader.ReadByte()
	qt.Check(t, err, qt.ErrorIs, io.EOF)
	close(release)
	got := <-responses
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, got.body, qt.Equals, "done")
	qt.Check(t, <-d.stopped, qt.IsNil)
}

// Guards against the drain closing a connection on which the next request has arrived already, in full or in part.
func TestDrainAnswersRequestThatHasArrived(t *testing.T) {
	first, second := request("id-1"), request("id-2")
	half := len(second) / 2
	for name, sent := range map[string]struct {
		first, beforeDrain, afterDrain string
		// reads is the number of calls of Read after the first response, of which the last waits for what is sent in the drain.
		reads int
	}{
		"after the first response":              {first, second, "", 0},
		"together with the first request":       {first + second, "", "", 0},
		"in part after the first response":      {first, second[:half], second[half:], 2},
		"in part together with the first one":   {first + second[:half], "", second[half:], 1},
		"in part on both sides of the response": {first + second[:half], second[half:], "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDrainDeployment(t, longDrain, false, respondOK)
			d.write(t, sent.first)
			<-d.listener.held
			d.write(t, sent.beforeDrain)
			d.stop()
			<-d.draining
			close(d.listener.release)
			d.readResponse(t)
			for range sent.reads {
				<-d.listener.reads
			}
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
				g.Log = slog.New(newMessageHandler(drainMessage, draining))
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
			d := newDrainDeployment(t, shortDrain, true, respondOK)
			defer close(d.listener.release)
			d.write(t, requestTo(path, "id-1"))
			<-d.listener.held
			begun := time.Now()
			d.stop()
			qt.Check(t, <-d.stopped, qt.ErrorMatches, "drain timed out with 1 requests in flight")
			lasted := time.Since(begun)
			qt.Check(t, lasted >= shortDrain, qt.IsTrue, qt.Commentf("the drain has ended after %s", lasted))
		})
	}
}
