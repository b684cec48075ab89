package railentry_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railupstream"
	"github.com/fulmarrail/fulmarrail/internal/lab/railendinglistener"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/node/railagent"
	"github.com/fulmarrail/fulmarrail/internal/node/railentry"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
	"github.com/fulmarrail/fulmarrail/internal/store/railstore"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/platform"
)

const (
	sharedKey  = "0123456789abcdef"
	configFile = `[origin main]
region = a
[zone a]
region = a
[customer harbour]
[service orders]
kind = plain
repeatable = no
coldLimit = 1
maxLimit = 1
[service lookups]
kind = plain
coldLimit = 1
maxLimit = 1
`
	// longDrain is a drain timeout that no test reaches.
	longDrain = time.Minute
	// agentDrain is the drain timeout of agents.
	agentDrain   = 800 * time.Millisecond
	callTimeout  = time.Second
	readTimeout  = 20 * time.Second
	pollInterval = 5 * time.Millisecond
	heldBody     = "held"
	// holdTime is longer than a drain waits for connections that are closed for sending.
	holdTime = 1500 * time.Millisecond
)

// plainEndpoint is a plain endpoint. A request whose body is heldBody is answered once release is closed.
type plainEndpoint struct {
	started, release chan struct{}
	once             sync.Once
}

func (e *plainEndpoint) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.PostBody()) == heldBody {
		e.once.Do(func() { close(e.started) })
		<-e.release
	}
	ctx.SetBodyString("done")
}

// asIs returns a listener without any change.
func asIs(lis net.Listener) net.Listener { return lis }

// holdingListener accepts connections. On those that it accepts once it is armed, the first call of Write returns only once release is
// closed. Its data is written before that, or after it if beforeWrite is set.
type holdingListener struct {
	net.Listener
	beforeWrite bool
	armed       atomic.Bool
	once        sync.Once
	// held is closed once a call of Write is held.
	held, release chan struct{}
}

func (l *holdingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil || !l.armed.Load() {
		return conn, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.Newf("a connection of type %T", conn)
	}
	return &holdingConn{TCPConn: tcp, listener: l}, nil
}

func (l *holdingListener) hold() {
	l.once.Do(func() {
		close(l.held)
		<-l.release
	})
}

type holdingConn struct {
	*net.TCPConn
	listener *holdingListener
}

func (c *holdingConn) Write(p []byte) (int, error) {
	if c.listener.beforeWrite {
		c.listener.hold()
		return c.TCPConn.Write(p)
	}
	n, err := c.TCPConn.Write(p)
	c.listener.hold()
	return n, err
}

// drainDeployment is an entry and the agents of two endpoints, one of each service.
type drainDeployment struct {
	address         string
	orders, lookups *plainEndpoint
	// agents holds the agents of orders and lookups, by service.
	agents map[string]*agentProcess
	stop   context.CancelFunc
	// stopped receives the result of the entry's Run.
	stopped chan error
	// startAgent starts an agent, whose name must be that of its service or follow it, and its endpoint.
	startAgent func(name, service string, drainTimeout time.Duration) *agentProcess
}

// agentProcess is the process of an agent, with the endpoint beside it.
type agentProcess struct {
	*plainEndpoint
	stop context.CancelFunc
	// kill closes the connections of the process, as the kernel does at its end. This also happens once its Run has returned.
	kill func()
}

func serve(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &fasthttp.Server{Handler: handler, CloseOnShutdown: true}
	go func() { _ = server.Serve(lis) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return lis.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	return lis
}

// newDrainDeployment starts a deployment whose entry accepts callers from wrap's result.
func newDrainDeployment(t *testing.T, drainTimeout time.Duration, wrap func(net.Listener) net.Listener) *drainDeployment {
	t.Helper()
	dir := t.TempDir()
	qt.Assert(t, os.WriteFile(filepath.Join(dir, "10.ini"), []byte(configFile), 0o600), qt.IsNil)
	p := &railplatform.Platform{}
	platformAddress := serve(t, p.Handle)
	log := slog.New(slog.DiscardHandler)
	newStore := func() railstore.Store {
		return &platform.DeploymentStore{Store: &platform.Store{HTTP: &platform.HTTPClient{Timeout: callTimeout}, Address: platformAddress}, Log: log}
	}
	dialer := &raildialer.Dialer{Key: []byte(sharedKey), Timeout: callTimeout}
	workCtx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	d := &drainDeployment{stopped: make(chan error, 1), agents: map[string]*agentProcess{}}
	d.startAgent = func(name, service string, drainTimeout time.Duration) *agentProcess {
		e := &plainEndpoint{started: make(chan struct{}), release: make(chan struct{})}
		lis := &railendinglistener.Listener{Listener: listen(t)}
		agent := &railagent.Agent{
			Self:      railmember.Member{Name: name, Role: railmember.RoleAgent, Address: lis.Addr().String(), Zone: "a", Region: "a", Service: service},
			SharedKey: []byte(sharedKey), InternalListener: lis, Platform: newStore(), Endpoint: &railupstream.Client{Address: serve(t, e.handle)},
			Dialer: dialer, Log: log,
		}
		p.SetMember(agent.Self)
		agentCtx, stop := context.WithCancel(workCtx)
		wg.Go(func() {
			_ = agent.Run(agentCtx, drainTimeout)
			lis.EndProcess()
		})
		return &agentProcess{plainEndpoint: e, stop: stop, kill: lis.EndProcess}
	}
	for _, service := range []string{"orders", "lookups"} {
		d.agents[service] = d.startAgent(service, service, agentDrain)
	}
	d.orders, d.lookups = d.agents["orders"].plainEndpoint, d.agents["lookups"].plainEndpoint
	callers, internal := &railendinglistener.Listener{Listener: wrap(listen(t))}, listen(t)
	d.address = callers.Addr().String()
	entry := &railentry.Entry{
		Self:      railmember.Member{Name: "entry", Role: railmember.RoleEntry, Address: internal.Addr().String(), Zone: "a", Region: "a"},
		SharedKey: []byte(sharedKey), CallerListener: callers, InternalListener: internal, ConfigDir: dir, Platform: newStore(), Dialer: dialer, Log: log,
	}
	p.SetMember(entry.Self)
	entryCtx, stop := context.WithCancel(workCtx)
	d.stop = stop
	wg.Go(func() {
		err := entry.Run(entryCtx, drainTimeout)
		callers.EndProcess()
		d.stopped <- err
	})
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		_ = dialer.Close()
	})
	d.waitServing(t)
	return d
}

// waitServing waits until both services serve requests.
func (d *drainDeployment) waitServing(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), readTimeout)
	defer cancel()
	for _, path := range []string{"/orders/x", "/lookups/x"} {
		for {
			c := d.connect(t)
			c.send(t, path, "", "Connection: close\r\n")
			if c.receive(t).status == http.StatusOK {
				break
			}
			qt.Assert(t, railtimer.Sleep(ctx, pollInterval), qt.IsTrue)
		}
	}
}

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

// Guards against requests that get no answer because the drain's time is over before their endpoint has answered.
func TestRequestsThatOutlastTheDrainAreAnswered(t *testing.T) {
	// A request that waits at an agent when it is interrupted may be admitted at that moment.
	verdicts := map[int]string{http.StatusGatewayTimeout: "mayHaveRun", http.StatusServiceUnavailable: "notRun"}
	for name, test := range map[string]struct {
		path    string
		running bool
	}{
		"running order":  {"/orders/x", true},
		"waiting order":  {"/orders/x", false},
		"running lookup": {"/lookups/x", true},
		"waiting lookup": {"/lookups/x", false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDrainDeployment(t, 300*time.Millisecond, asIs)
			endpoint := d.orders
			if strings.HasPrefix(test.path, "/lookups") {
				endpoint = d.lookups
			}
			defer close(endpoint.release)
			caller := d.connect(t)
			caller.send(t, test.path, heldBody, "")
			<-endpoint.started
			if !test.running {
				caller = d.connect(t)
				caller.send(t, test.path, "", "")
			}
			d.stop()
			got := caller.receive(t)
			qt.Assert(t, got.err, qt.IsNil)
			qt.Check(t, got.verdict, qt.Equals, verdicts[got.status], qt.Commentf("status %d: %s", got.status, got.body))
			qt.Check(t, test.running && got.status != http.StatusGatewayTimeout, qt.IsFalse, qt.Commentf("%s", got.body))
			qt.Check(t, got.closes, qt.IsTrue)
			qt.Check(t, <-d.stopped, qt.ErrorMatches, "1 requests were ended.*|2 requests were ended.*")
		})
	}
}

// Guards against a response that is cut because the drain counts its request as ended before the response is written, against a request
// on the same connection that is dropped since the connection counts as idle although the request has arrived, and against connections
// that stay open after that.
func TestDrainWaitsForResponsesAndAnswersRequestsThatHaveArrived(t *testing.T) {
	for name, beforeWrite := range map[string]bool{"response not written": true, "response written": false} {
		t.Run(name, func(t *testing.T) {
			var hold *holdingListener
			d := newDrainDeployment(t, longDrain, func(lis net.Listener) net.Listener {
				hold = &holdingListener{Listener: lis, beforeWrite: beforeWrite, held: make(chan struct{}), release: make(chan struct{})}
				return hold
			})
			idle := d.connect(t)
			idle.send(t, "/lookups/x", "", "")
			qt.Assert(t, idle.receive(t).status, qt.Equals, http.StatusOK)
			hold.armed.Store(true)
			caller := d.connect(t)
			caller.send(t, "/orders/x", "", "")
			<-hold.held
			d.stop()
			_, err := idle.reader.ReadByte()
			qt.Check(t, err, qt.ErrorIs, io.EOF, qt.Commentf("idle connections must be closed cleanly"))
			caller.send(t, "/orders/x", "", "")
			select {
			case err := <-d.stopped:
				t.Fatalf("the process ends while a response is not written: %v", err)
			case <-time.After(holdTime):
			}
			close(hold.release)
			got := caller.receive(t)
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.status, qt.Equals, http.StatusOK)
			got = caller.receive(t)
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.status, qt.Equals, http.StatusServiceUnavailable)
			qt.Check(t, got.closes, qt.IsTrue)
			qt.Check(t, <-d.stopped, qt.IsNil)
		})
	}
}

// Guards against an entry that never ends, since a caller doesn't take its response.
func TestEntryEndsThoughACallerTakesNoResponse(t *testing.T) {
	var hold *holdingListener
	d := newDrainDeployment(t, 300*time.Millisecond, func(lis net.Listener) net.Listener {
		hold = &holdingListener{Listener: lis, beforeWrite: true, held: make(chan struct{}), release: make(chan struct{})}
		return hold
	})
	defer close(hold.release)
	hold.armed.Store(true)
	d.connect(t).send(t, "/orders/x", "", "")
	<-hold.held
	d.stop()
	select {
	case err := <-d.stopped:
		qt.Check(t, err, qt.ErrorMatches, "drain did not complete: . requests have no response")
	case <-time.After(readTimeout):
		t.Error("the entry does not end")
	}
}

// brokenListener fails with err while it is broken.
type brokenListener struct {
	net.Listener
	err    error
	broken atomic.Bool
}

func (l *brokenListener) Accept() (net.Conn, error) {
	if l.broken.Load() {
		return nil, l.err
	}
	return l.Listener.Accept()
}

// newBrokenDeployment returns a deployment whose entry's listener has begun to fail with err while an order is running.
func newBrokenDeployment(t *testing.T, err error) (d *drainDeployment, lis *brokenListener, caller *callerConn) {
	t.Helper()
	d = newDrainDeployment(t, 2*time.Second, func(l net.Listener) net.Listener {
		lis = &brokenListener{Listener: l, err: err}
		return lis
	})
	t.Cleanup(func() { close(d.orders.release) })
	caller = d.connect(t)
	caller.send(t, "/orders/x", heldBody, "")
	<-d.orders.started
	lis.broken.Store(true)
	d.connect(t) // Ends the accept that waits.
	return d, lis, caller
}

// Guards against an entry that serves nobody any more, and ends, since there was no descriptor for a new connection for a while.
func TestEntryServesAfterShortageOfDescriptors(t *testing.T) {
	d, lis, _ := newBrokenDeployment(t, syscall.EMFILE)
	time.Sleep(pollInterval) // Without it, the accept may meet no shortage, and the test passes.
	lis.broken.Store(false)
	late := d.connect(t)
	late.send(t, "/lookups/x", "", "")
	got := late.receive(t)
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, got.status, qt.Equals, http.StatusOK)
}

// Guards against an entry whose listener has failed, and that stops without an end to its drain: it never interrupts a request.
func TestEntryWithoutListenerDrains(t *testing.T) {
	gone := errors.New("the listener is gone")
	d, _, caller := newBrokenDeployment(t, gone)
	got := caller.receive(t)
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, got.status, qt.Equals, http.StatusGatewayTimeout)
	qt.Check(t, <-d.stopped, qt.ErrorIs, gone)
}
