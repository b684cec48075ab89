package raildeployment

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railupstream"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/node/railagent"
	"github.com/fulmarrail/fulmarrail/internal/node/railentry"
	"github.com/fulmarrail/fulmarrail/internal/standin/raildesk"
	"github.com/fulmarrail/fulmarrail/internal/standin/railengine"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
	"github.com/fulmarrail/fulmarrail/internal/store/railstore"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/platform"
)

const (
	platformTimeout = 2 * time.Second
	dialTimeout     = time.Second
	readyPoll       = 20 * time.Millisecond
	drainLimit      = 20 * time.Second
	maxBodyBytes    = 64 << 20
	engineThreads   = 1 << 14

	// AssistantService is the service of a deployment's engines.
	AssistantService = "assistant"
	// OrdersService is the service of a deployment's order desks.
	OrdersService = "orders"
)

// Deployment is a set of zones, one a region, with entries, engines and order desks; its fields are set before Start.
type Deployment struct {
	Zones []string
	// EntriesPerZone, EnginesPerZone and OrderServicesPerZone are counts for each zone.
	EntriesPerZone, EnginesPerZone, OrderServicesPerZone int
	// NewEngine returns an engine to run beside an agent.
	NewEngine         func(name string) *railengine.Engine
	OrderServiceDelay time.Duration
	// ConfigDir is the operators' directory; where it is empty, the first WriteFile makes one, which Stop removes.
	ConfigDir string
	SharedKey []byte
	Platform  *railplatform.Platform
	Log       *slog.Logger

	mu       sync.Mutex
	wg       sync.WaitGroup
	stops    []context.CancelFunc
	servers  []*fasthttp.Server
	callers  map[string]string
	engines  map[string]*railengine.Engine
	desks    map[string]*raildesk.OrderService
	platform string
	// made is the directory that the deployment has made itself.
	made string
	// revisions returns the number of the revision in force at each process.
	revisions []func() uint64

	innerBytes atomic.Int64
}

// Start starts the stand-ins and all processes, or returns an error.
func (d *Deployment) Start(ctx context.Context) error {
	d.callers = map[string]string{}
	d.engines, d.desks = map[string]*railengine.Engine{}, map[string]*raildesk.OrderService{}
	address, err := d.serve(d.Platform.Handle)
	if err != nil {
		return err
	}
	d.platform = address
	for _, zone := range d.Zones {
		if err := d.startZone(ctx, zone); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends all processes at once and the stand-ins.
func (d *Deployment) Stop() {
	d.mu.Lock()
	for _, stop := range d.stops {
		stop()
	}
	d.mu.Unlock()
	d.wg.Wait()
	for _, server := range d.servers {
		_ = server.Shutdown()
	}
	if d.made != "" {
		_ = os.RemoveAll(d.made)
	}
}

// CallerAddresses returns the addresses for callers, by entry.
func (d *Deployment) CallerAddresses() map[string]string { return d.callers }

// InternalBytes returns the bytes that processes have exchanged with each other.
func (d *Deployment) InternalBytes() int64 { return d.innerBytes.Load() }

// SimulatedEngines returns the engines by their agents' names.
func (d *Deployment) SimulatedEngines() map[string]*railengine.Engine { return d.engines }

// CommitCounts returns the commits of all order desks together.
func (d *Deployment) CommitCounts() map[string]int {
	total := map[string]int{}
	for _, desk := range d.desks {
		for key, n := range desk.CommitCounts() {
			total[key] += n
		}
	}
	return total
}

// WriteFile writes one file of the operators' folder as a whole.
func (d *Deployment) WriteFile(name, content string) error {
	if err := d.makeFolder(); err != nil {
		return err
	}
	temporary := filepath.Join(d.ConfigDir, "."+name)
	if err := os.WriteFile(temporary, []byte(content), 0o600); err != nil {
		return errors.Wrap(err, "write a file of the folder")
	}
	return errors.Wrap(os.Rename(temporary, filepath.Join(d.ConfigDir, name)), "put a file into the folder")
}

func (d *Deployment) makeFolder() error {
	if d.ConfigDir != "" {
		return nil
	}
	directory, err := os.MkdirTemp("", "fulmarrail-folder-")
	d.ConfigDir, d.made = directory, directory
	return errors.Wrap(err, "make the folder")
}

// WaitRevision waits until every process has a revision of at least the given number in force, or ctx is done.
func (d *Deployment) WaitRevision(ctx context.Context, number uint64) error {
	d.mu.Lock()
	revisions := slices.Clone(d.revisions)
	d.mu.Unlock()
	return d.wait(ctx, func() bool {
		return !slices.ContainsFunc(revisions, func(revision func() uint64) bool { return revision() < number })
	})
}

// WaitServing waits until the given number of endpoints serve the manifest's weights, or ctx is done.
func (d *Deployment) WaitServing(ctx context.Context, manifest string, n int) error {
	return d.wait(ctx, func() bool {
		serving := 0
		for _, engine := range d.engines {
			if engine.Digest() == manifest {
				serving++
			}
		}
		return serving >= n
	})
}

// WaitReady waits until every entry answers that it is ready, or ctx is done.
func (d *Deployment) WaitReady(ctx context.Context) error {
	return d.wait(ctx, func() bool {
		for _, address := range d.callers {
			status, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/ready", time.Second)
			if err != nil || status != fasthttp.StatusOK {
				return false
			}
		}
		return true
	})
}

// StartEntry starts one entry, as on a new VM.
func (d *Deployment) StartEntry(ctx context.Context, name, zone string) error {
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for processes")
	}
	self := railmember.Member{Name: name, Role: railmember.RoleEntry, Address: inner.Addr().String(), Zone: zone, Region: zone}
	d.callers[name] = callers.Addr().String()
	entry := &railentry.Entry{
		Self: self, SharedKey: d.SharedKey, CallerListener: callers, InternalListener: inner, ConfigDir: d.ConfigDir,
		Platform: d.client(), Dialer: d.dialer(), Log: d.Log.With("process", name),
	}
	d.Platform.SetMember(self)
	d.start(ctx, name, entry.Run, entry.Revision)
	return nil
}

// StartAgent starts one agent beside the endpoint at an address, as on a new VM.
func (d *Deployment) StartAgent(ctx context.Context, name, zone, service, endpoint string) error {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for processes")
	}
	self := railmember.Member{Name: name, Role: railmember.RoleAgent, Address: inner.Addr().String(), Zone: zone, Region: zone, Service: service}
	agent := &railagent.Agent{
		Self: self, SharedKey: d.SharedKey, InternalListener: inner, Platform: d.client(), Endpoint: &railupstream.Client{Address: endpoint},
		Dialer: d.dialer(), Log: d.Log.With("process", name),
	}
	d.Platform.SetMember(self)
	d.start(ctx, name, agent.Run, agent.Revision)
	return nil
}

func (d *Deployment) startZone(ctx context.Context, zone string) error {
	for i := range d.EnginesPerZone {
		name := fmt.Sprintf("%s-%s-%d", AssistantService, zone, i)
		engine := d.NewEngine(name)
		d.engines[name] = engine
		if err := d.startEndpoint(ctx, name, zone, AssistantService, engine.Handle); err != nil {
			return err
		}
	}
	for i := range d.OrderServicesPerZone {
		name := fmt.Sprintf("%s-%s-%d", OrdersService, zone, i)
		desk := &raildesk.OrderService{Delay: d.OrderServiceDelay}
		d.desks[name] = desk
		if err := d.startEndpoint(ctx, name, zone, OrdersService, desk.Handle); err != nil {
			return err
		}
	}
	for i := range d.EntriesPerZone {
		if err := d.StartEntry(ctx, fmt.Sprintf("entry-%s-%d", zone, i), zone); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startEndpoint(ctx context.Context, name, zone, service string, handler fasthttp.RequestHandler) error {
	address, err := d.serve(handler)
	if err != nil {
		return err
	}
	return d.StartAgent(ctx, name, zone, service, address)
}

func (d *Deployment) start(ctx context.Context, name string, run func(context.Context, time.Duration) error, revision func() uint64) {
	ctx, stop := context.WithCancel(ctx)
	d.mu.Lock()
	d.stops = append(d.stops, stop)
	d.revisions = append(d.revisions, revision)
	d.mu.Unlock()
	d.wg.Go(func() {
		if err := run(ctx, drainLimit); err != nil {
			d.Log.Error("process ended", "process", name, "err", err)
		}
	})
}

func (d *Deployment) serve(handler fasthttp.RequestHandler) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	server := &fasthttp.Server{Handler: handler, MaxRequestBodySize: maxBodyBytes, Concurrency: engineThreads, CloseOnShutdown: true}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(lis) }()
	return lis.Addr().String(), nil
}

func (d *Deployment) client() railstore.Store {
	store := &platform.Store{HTTP: &platform.HTTPClient{Timeout: platformTimeout}, Address: d.platform}
	return &platform.DeploymentStore{Store: store, Log: d.Log}
}

func (d *Deployment) dialer() *raildialer.Dialer {
	return &raildialer.Dialer{Key: d.SharedKey, Timeout: dialTimeout, Dial: d.dial}
}

// dial counts the bytes of a connection between processes.
func (d *Deployment) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, bytes: &d.innerBytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (d *Deployment) wait(ctx context.Context, done func() bool) error {
	for !done() {
		if !railtimer.Sleep(ctx, readyPoll) {
			return errors.Wrap(ctx.Err(), "wait for the deployment")
		}
	}
	return nil
}
