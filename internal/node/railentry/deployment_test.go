package railentry_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

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
	pollInterval = 5 * time.Millisecond
	heldBody     = "held"
	rawBody      = "HTTP/"
)

// plainEndpoint is a plain endpoint. A request whose body is heldBody is answered once release is closed, and one whose body begins with rawBody with
// that body as the whole response.
type plainEndpoint struct {
	started, release chan struct{}
	once             sync.Once
}

func (e *plainEndpoint) handle(ctx *fasthttp.RequestCtx) {
	switch body := string(ctx.PostBody()); {
	case body == heldBody:
		e.once.Do(func() { close(e.started) })
		<-e.release
	case strings.HasPrefix(body, rawBody):
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(conn net.Conn) { _, _ = io.WriteString(conn, body) })
		return
	}
	ctx.SetBodyString("done")
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

	platform        *railplatform.Platform
	platformAddress string
	dialer          *raildialer.Dialer
	// ctx is that of all processes, and processes awaits their ends.
	ctx       context.Context
	processes sync.WaitGroup
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
	d := &drainDeployment{stopped: make(chan error, 1), agents: map[string]*agentProcess{}, platform: &railplatform.Platform{}}
	d.platformAddress = serve(t, d.platform.Handle)
	d.dialer = &raildialer.Dialer{Key: []byte(sharedKey), Timeout: callTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	d.ctx = ctx
	for _, service := range []string{"orders", "lookups"} {
		d.agents[service] = d.startAgent(t, service, service, agentDrain)
	}
	d.orders, d.lookups = d.agents["orders"].plainEndpoint, d.agents["lookups"].plainEndpoint
	d.startEntry(t, drainTimeout, wrap(listen(t)))
	t.Cleanup(func() {
		cancel()
		d.processes.Wait()
		_ = d.dialer.Close()
	})
	d.waitServing(t)
	return d
}

// newStore returns a client of the platform's store for one process.
func (d *drainDeployment) newStore() railstore.Store {
	store := &platform.Store{HTTP: &platform.HTTPClient{Timeout: callTimeout}, Address: d.platformAddress}
	return &platform.DeploymentStore{Store: store, Log: slog.New(slog.DiscardHandler)}
}

// startAgent starts an agent, whose name must be that of its service or follow it, and its endpoint.
func (d *drainDeployment) startAgent(t *testing.T, name, service string, drainTimeout time.Duration) *agentProcess {
	t.Helper()
	e := &plainEndpoint{started: make(chan struct{}), release: make(chan struct{})}
	lis := &railendinglistener.Listener{Listener: listen(t)}
	agent := &railagent.Agent{
		Self:      railmember.Member{Name: name, Role: railmember.RoleAgent, Address: lis.Addr().String(), Zone: "a", Region: "a", Service: service},
		SharedKey: []byte(sharedKey), InternalListener: lis, Platform: d.newStore(), Endpoint: &railupstream.Client{Address: serve(t, e.handle)},
		Dialer: d.dialer, Log: slog.New(slog.DiscardHandler),
	}
	d.platform.SetMember(agent.Self)
	ctx, stop := context.WithCancel(d.ctx)
	d.processes.Go(func() {
		_ = agent.Run(ctx, drainTimeout)
		lis.EndProcess()
	})
	return &agentProcess{plainEndpoint: e, stop: stop, kill: lis.EndProcess}
}

// startEntry starts the entry, which accepts callers from lis.
func (d *drainDeployment) startEntry(t *testing.T, drainTimeout time.Duration, lis net.Listener) {
	t.Helper()
	dir := t.TempDir()
	qt.Assert(t, os.WriteFile(filepath.Join(dir, "10.ini"), []byte(configFile), 0o600), qt.IsNil)
	callers, internal := &railendinglistener.Listener{Listener: lis}, listen(t)
	d.address = callers.Addr().String()
	entry := &railentry.Entry{
		Self:      railmember.Member{Name: "entry", Role: railmember.RoleEntry, Address: internal.Addr().String(), Zone: "a", Region: "a"},
		SharedKey: []byte(sharedKey), CallerListener: callers, InternalListener: internal, ConfigDir: dir, Platform: d.newStore(), Dialer: d.dialer,
		Log: slog.New(slog.DiscardHandler),
	}
	d.platform.SetMember(entry.Self)
	ctx, stop := context.WithCancel(d.ctx)
	d.stop = stop
	d.processes.Go(func() {
		err := entry.Run(ctx, drainTimeout)
		callers.EndProcess()
		d.stopped <- err
	})
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
