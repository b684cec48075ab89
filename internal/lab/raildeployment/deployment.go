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
	"github.com/fulmarrail/fulmarrail/internal/standin/railengine"
	"github.com/fulmarrail/fulmarrail/internal/standin/railorderservice"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
	"github.com/fulmarrail/fulmarrail/internal/store/railstore"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/platform"
)

const (
	platformTimeout = 2 * time.Second
	dialTimeout     = time.Second
	pollInterval    = 20 * time.Millisecond
	drainTimeout    = 20 * time.Second
	maxBodyBytes    = 64 << 20
	maxConcurrency  = 1 << 14

	// AssistantService is the name of the service that the engines run.
	AssistantService = "assistant"
	// OrdersService is the name of the plain service that takes orders.
	OrdersService = "orders"
)

// Deployment is a set of zones, each in a region of its own, with entries, engines and order services. Set the exported
// fields before Start.
type Deployment struct {
	Zones []string
	// EntriesPerZone, EnginesPerZone and OrderServicesPerZone are the numbers of instances in each zone.
	EntriesPerZone, EnginesPerZone, OrderServicesPerZone int
	// NewEngine returns the simulated engine for the agent with the given name.
	NewEngine         func(name string) *railengine.Engine
	OrderServiceDelay time.Duration
	// ConfigDir is the directory of the configuration files. If it is empty, the first WriteFile creates a temporary one,
	// which Stop removes.
	ConfigDir string
	SharedKey []byte
	Platform  *railplatform.Platform
	Log       *slog.Logger

	mu              sync.Mutex
	wg              sync.WaitGroup
	cancels         []context.CancelFunc
	servers         []*fasthttp.Server
	callerAddresses map[string]string
	engines         map[string]*railengine.Engine
	orderServices   map[string]*railorderservice.OrderService
	platformAddress string
	// createdDir is the temporary ConfigDir to remove in Stop.
	createdDir string
	// revisions holds a function for each process that returns the number of its revision in effect.
	revisions []func() uint64

	internalBytes atomic.Int64
}

// Start starts the simulated platform and endpoints and all processes. It returns an error if it can't listen on loopback.
func (d *Deployment) Start(ctx context.Context) error {
	d.callerAddresses = map[string]string{}
	d.engines, d.orderServices = map[string]*railengine.Engine{}, map[string]*railorderservice.OrderService{}
	address, err := d.serve(d.Platform.Handle)
	if err != nil {
		return err
	}
	d.platformAddress = address
	for _, zone := range d.Zones {
		if err := d.startZone(ctx, zone); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops all processes at the same time, waits for them, and then stops the simulated platform and endpoints.
func (d *Deployment) Stop() {
	d.mu.Lock()
	for _, cancel := range d.cancels {
		cancel()
	}
	d.mu.Unlock()
	d.wg.Wait()
	for _, server := range d.servers {
		_ = server.Shutdown()
	}
	if d.createdDir != "" {
		_ = os.RemoveAll(d.createdDir)
	}
}

// CallerAddresses returns the address on which each entry serves callers, by the entry's name.
func (d *Deployment) CallerAddresses() map[string]string { return d.callerAddresses }

// InternalBytes returns the number of bytes sent and received on connections between processes.
func (d *Deployment) InternalBytes() int64 { return d.internalBytes.Load() }

// SimulatedEngines returns the engines by the name of their agent.
func (d *Deployment) SimulatedEngines() map[string]*railengine.Engine { return d.engines }

// CommitCounts returns the number of commits at all order services by idempotency key.
func (d *Deployment) CommitCounts() map[string]int {
	total := map[string]int{}
	for _, orderService := range d.orderServices {
		for key, n := range orderService.CommitCounts() {
			total[key] += n
		}
	}
	return total
}

// WriteFile atomically creates or replaces a configuration file. It returns an error if the file can't be written.
func (d *Deployment) WriteFile(name, content string) error {
	if err := d.ensureConfigDir(); err != nil {
		return err
	}
	tempPath := filepath.Join(d.ConfigDir, "."+name)
	if err := os.WriteFile(tempPath, []byte(content), 0o600); err != nil {
		return errors.Wrap(err, "write configuration file")
	}
	return errors.Wrap(os.Rename(tempPath, filepath.Join(d.ConfigDir, name)), "rename configuration file")
}

func (d *Deployment) ensureConfigDir() error {
	if d.ConfigDir != "" {
		return nil
	}
	dir, err := os.MkdirTemp("", "fulmarrail-folder-")
	d.ConfigDir, d.createdDir = dir, dir
	return errors.Wrap(err, "create configuration directory")
}

// WaitRevision waits until the revision in effect at every process has at least the given number.
// It returns an error if ctx is done first.
func (d *Deployment) WaitRevision(ctx context.Context, number uint64) error {
	d.mu.Lock()
	revisions := slices.Clone(d.revisions)
	d.mu.Unlock()
	return d.waitUntil(ctx, func() bool {
		return !slices.ContainsFunc(revisions, func(revision func() uint64) bool { return revision() < number })
	})
}

// WaitServing waits until at least n engines serve the weights with the given manifest digest.
// It returns an error if ctx is done first.
func (d *Deployment) WaitServing(ctx context.Context, manifest string, n int) error {
	return d.waitUntil(ctx, func() bool {
		serving := 0
		for _, engine := range d.engines {
			if engine.Digest() == manifest {
				serving++
			}
		}
		return serving >= n
	})
}

// WaitReady waits until every entry reports that it is ready. It returns an error if ctx is done first.
func (d *Deployment) WaitReady(ctx context.Context) error {
	return d.waitUntil(ctx, func() bool {
		for _, address := range d.callerAddresses {
			status, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/ready", time.Second)
			if err != nil || status != fasthttp.StatusOK {
				return false
			}
		}
		return true
	})
}

// StartEntry starts an entry on new ports and lists it on the platform. It returns an error if it can't listen.
func (d *Deployment) StartEntry(ctx context.Context, name, zone string) error {
	callerListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	internalListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for processes")
	}
	self := railmember.Member{Name: name, Role: railmember.RoleEntry, Address: internalListener.Addr().String(), Zone: zone, Region: zone}
	d.callerAddresses[name] = callerListener.Addr().String()
	entry := &railentry.Entry{
		Self: self, SharedKey: d.SharedKey, CallerListener: callerListener, InternalListener: internalListener, ConfigDir: d.ConfigDir,
		Platform: d.newStore(), Dialer: d.newDialer(), Log: d.Log.With("process", name),
	}
	d.Platform.SetMember(self)
	d.startProcess(ctx, name, entry.Run, entry.Revision)
	return nil
}

// StartAgent starts an agent for the endpoint at endpointAddress and lists it on the platform. It returns an error if it
// can't listen.
func (d *Deployment) StartAgent(ctx context.Context, name, zone, service, endpointAddress string) error {
	internalListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for processes")
	}
	self := railmember.Member{Name: name, Role: railmember.RoleAgent, Address: internalListener.Addr().String(), Zone: zone, Region: zone, Service: service}
	client := &railupstream.Client{Address: endpointAddress}
	agent := &railagent.Agent{
		Self: self, SharedKey: d.SharedKey, InternalListener: internalListener, Platform: d.newStore(), Endpoint: client,
		Dialer: d.newDialer(), Log: d.Log.With("process", name),
	}
	client.OnReport, client.OnLimit, client.OnResume = agent.RecordReport, agent.RecordLimit, agent.RecordResume
	client.Intact = agent.Intact
	d.Platform.SetMember(self)
	d.startProcess(ctx, name, agent.Run, agent.Revision)
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
		orderService := &railorderservice.OrderService{Delay: d.OrderServiceDelay}
		d.orderServices[name] = orderService
		if err := d.startEndpoint(ctx, name, zone, OrdersService, orderService.Handle); err != nil {
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

func (d *Deployment) startProcess(ctx context.Context, name string, run func(context.Context, time.Duration) error, revision func() uint64) {
	ctx, cancel := context.WithCancel(ctx)
	d.mu.Lock()
	d.cancels = append(d.cancels, cancel)
	d.revisions = append(d.revisions, revision)
	d.mu.Unlock()
	d.wg.Go(func() {
		if err := run(ctx, drainTimeout); err != nil {
			d.Log.Error("process failed", "process", name, "err", err)
		}
	})
}

func (d *Deployment) serve(handler fasthttp.RequestHandler) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for simulated service")
	}
	server := &fasthttp.Server{Handler: handler, MaxRequestBodySize: maxBodyBytes, Concurrency: maxConcurrency, CloseOnShutdown: true}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(lis) }()
	return lis.Addr().String(), nil
}

func (d *Deployment) newStore() railstore.Store {
	store := &platform.Store{HTTP: &platform.HTTPClient{Timeout: platformTimeout}, Address: d.platformAddress}
	return &platform.DeploymentStore{Store: store, Log: d.Log}
}

func (d *Deployment) newDialer() *raildialer.Dialer {
	return &raildialer.Dialer{Key: d.SharedKey, Timeout: dialTimeout, Dial: d.dial}
}

// dial connects to another process and counts the bytes of the connection.
func (d *Deployment) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &d.internalBytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (d *Deployment) waitUntil(ctx context.Context, done func() bool) error {
	for !done() {
		if !railtimer.Sleep(ctx, pollInterval) {
			return errors.Wrap(ctx.Err(), "wait for the deployment")
		}
	}
	return nil
}
