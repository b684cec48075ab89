package railcluster

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fulmarrail/fulmarrail/internal/config/railfile"
	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/node/railagent"
	"github.com/fulmarrail/fulmarrail/internal/node/railrouter"
	"github.com/fulmarrail/fulmarrail/internal/request/railheader"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/standin/railisolator"
	"github.com/fulmarrail/fulmarrail/internal/standin/railnetwork"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	dialTimeout  = 500 * time.Millisecond
	drainTimeout = time.Minute
	pollInterval = 50 * time.Millisecond
)

var sharedKey = []byte("cluster-shared-key")

// Cluster is an in-memory deployment. Set the exported fields before first use.
type Cluster struct {
	Network  *railnetwork.Network
	Platform *railplatform.Platform
	Log      *slog.Logger

	mu      sync.Mutex
	wg      sync.WaitGroup
	folder  railfolder.Folder
	stamp   int64
	entries map[string]*entryProcess
	agents  map[string]*agentProcess
}

type entryProcess struct {
	router   *railrouter.Router
	isolator *railisolator.Isolator
	cancel   context.CancelFunc
}

type agentProcess struct {
	member   railmember.Member
	endpoint railendpoint.Endpoint
	agent    *railagent.Agent
	// isolator disconnects the agent from the platform and from its endpoint, platformIsolator only from the platform.
	isolator         *railisolator.Isolator
	platformIsolator *railisolator.Isolator
	cancel           context.CancelFunc
	done             chan error
}

// WriteFile creates or replaces a file in the configuration folder.
func (c *Cluster) WriteFile(name, content string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stamp++
	c.folder = c.folder.WithFile(railfile.File{Name: name, Stamp: c.stamp, Content: content})
	c.folder.Stamp = c.stamp
}

// RemoveFile removes a file from the configuration folder.
func (c *Cluster) RemoveFile(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stamp++
	c.folder = c.folder.WithoutFile(name, c.stamp)
}

// Folder returns a snapshot of the configuration folder. The error is always nil.
func (c *Cluster) Folder() (railfolder.Folder, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.folder, nil
}

// StartRouter starts the router of an entry that reads the configuration folder with readFolder.
// It returns an error if name is already listening on the network.
func (c *Cluster) StartRouter(ctx context.Context, name, zone string, readFolder func() (railfolder.Folder, error)) (*railrouter.Router, error) {
	self := railmember.Member{Name: name, Role: railmember.RoleEntry, Address: name, Zone: zone, Region: zone}
	isolator := &railisolator.Isolator{}
	r := &railrouter.Router{Self: self, Platform: isolator.WrapStore(c.Platform), ReadFolder: readFolder, Dialer: c.dialer(name), Log: c.Log.With("process", name)}
	ctx, cancel := context.WithCancel(ctx)
	if err := c.serveRouter(ctx, name, r); err != nil {
		cancel()
		return nil, err
	}
	c.Platform.SetMember(self)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries = map[string]*entryProcess{}
	}
	c.entries[name] = &entryProcess{router: r, isolator: isolator, cancel: cancel}
	c.wg.Go(func() { r.Run(ctx) })
	return r, nil
}

// KillRouter stops an entry's router without a drain, closes its connections and removes it from the platform's VM list.
func (c *Cluster) KillRouter(name string) {
	c.mu.Lock()
	e := c.entries[name]
	delete(c.entries, name)
	c.mu.Unlock()
	e.isolator.Isolate()
	c.Network.Kill(name)
	e.cancel()
	c.Platform.RemoveMember(name)
}

// StartAgent starts the agent of an endpoint. It returns an error if name is already listening on the network.
func (c *Cluster) StartAgent(ctx context.Context, name, zone, service string, endpoint railendpoint.Endpoint) error {
	lis, err := c.Network.Listen(name)
	if err != nil {
		return err
	}
	self := railmember.Member{Name: name, Role: railmember.RoleAgent, Address: name, Zone: zone, Region: zone, Service: service}
	isolator, platformIsolator := &railisolator.Isolator{}, &railisolator.Isolator{}
	ctx, cancel := context.WithCancel(ctx)
	proc := &agentProcess{member: self, endpoint: endpoint, isolator: isolator, platformIsolator: platformIsolator, cancel: cancel, done: make(chan error, 1)}
	agent := &railagent.Agent{
		Self: self, SharedKey: sharedKey, InternalListener: lis, Platform: platformIsolator.WrapStore(isolator.WrapStore(c.Platform)), Endpoint: isolator.WrapEndpoint(endpoint),
		Dialer: c.dialer(name), Log: c.Log.With("process", name),
	}
	proc.agent = agent
	c.Platform.SetMember(self)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.agents == nil {
		c.agents = map[string]*agentProcess{}
	}
	c.agents[name] = proc
	c.wg.Go(func() {
		proc.done <- agent.Run(ctx, drainTimeout)
		_ = lis.Close()
	})
	return nil
}

// RecordReport lets an agent's endpoint say something of itself.
func (c *Cluster) RecordReport(name string, said railheader.SelfReport) {
	c.agent(name).agent.RecordReport("", said)
}

// RecordLimit lets an agent's endpoint name in a response how many requests it takes, or name no limit.
func (c *Cluster) RecordLimit(name string, said railendpoint.LimitReport) {
	c.agent(name).agent.RecordLimit(said)
}

// KillAgent stops an agent without a drain and closes its connections. It sends no more messages and starts no more
// requests.
func (c *Cluster) KillAgent(name string) {
	p := c.agent(name)
	p.isolator.Isolate()
	c.Network.Kill(name)
	p.cancel()
}

// RestartAgent starts a new incarnation of a killed agent for the same endpoint.
func (c *Cluster) RestartAgent(ctx context.Context, name string) error {
	p := c.agent(name)
	return c.StartAgent(ctx, name, p.member.Zone, p.member.Service, p.endpoint)
}

// StopAgent shuts an agent down gracefully and returns the error of its Run method.
func (c *Cluster) StopAgent(name string) error {
	p := c.agent(name)
	p.cancel()
	return <-p.done
}

// SetEntryPartitioned disconnects an entry from the platform, or reconnects it.
func (c *Cluster) SetEntryPartitioned(name string, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[name].isolator.SetConnected(!partitioned)
}

// SetAgentPartitioned disconnects an agent from the platform, or reconnects it. The agent still reaches its endpoint.
func (c *Cluster) SetAgentPartitioned(name string, partitioned bool) {
	c.agent(name).platformIsolator.SetConnected(!partitioned)
}

// SetZonePartitioned disconnects the entries and agents of a zone from the platform and from all other zones, or reconnects
// them.
func (c *Cluster) SetZonePartitioned(zone string, partitioned bool) {
	members, others := c.membersByZone(zone)
	for _, m := range members {
		if m.Role == railmember.RoleEntry {
			c.SetEntryPartitioned(m.Name, partitioned)
		} else {
			c.SetAgentPartitioned(m.Name, partitioned)
		}
		for _, other := range others {
			if partitioned {
				c.Network.Partition(m.Name, other.Name)
			} else {
				c.Network.Heal(m.Name, other.Name)
			}
		}
	}
}

// Wait waits until all processes have stopped.
func (c *Cluster) Wait() {
	c.wg.Wait()
}

// WaitUntil polls done until it returns true. It returns an error that names the condition if ctx is done first.
func (c *Cluster) WaitUntil(ctx context.Context, condition string, done func() bool) error {
	for !done() {
		if !railtimer.Sleep(ctx, pollInterval) {
			return errors.Wrapf(ctx.Err(), "wait until %s", condition)
		}
	}
	return nil
}

// WaitRevision waits until every router has a revision with at least the given number. It returns an error if ctx is done
// first.
func (c *Cluster) WaitRevision(ctx context.Context, number uint64) error {
	return c.WaitUntil(ctx, fmt.Sprintf("revision %d is in effect", number), func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, e := range c.entries {
			if revision, _ := e.router.Revision(); revision.Number < number {
				return false
			}
		}
		return true
	})
}

// LowestRevision returns the lowest revision number in effect at any process, or math.MaxUint64 if there are no processes.
func (c *Cluster) LowestRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	lowest := uint64(math.MaxUint64)
	for _, e := range c.entries {
		revision, _ := e.router.Revision()
		lowest = min(lowest, revision.Number)
	}
	for _, p := range c.agents {
		lowest = min(lowest, p.agent.Revision())
	}
	return lowest
}

// NewRequest returns a request of no session, with default weight and priority, whose deadline is timeout from now. idempotencyKey may be
// empty.
func NewRequest(service, customer, idempotencyKey, body string, idempotent bool, timeout time.Duration) railrequest.Request {
	now := time.Now()
	req := railrequest.Request{
		ID: uuid.NewString(), Service: service, Customer: customer, Weight: 1, Priority: 5, Key: idempotencyKey, Idempotent: idempotent,
		Path: "/", Body: []byte(body), ReceivedAt: now, Deadline: now.Add(timeout),
	}
	return req.WithSharedParts("")
}

// Submit sends a request through a router, as the HTTP handler of an entry does, and returns the verdict and the response
// frames. It returns an error if the router rejects the request or forwarding fails.
func Submit(ctx context.Context, r *railrouter.Router, req railrequest.Request) (railverdict.Verdict, []*railproto.Frame, error) {
	revision, _ := r.Revision()
	if service, ok := revision.Spec().Service(req.Service); ok {
		if reason := r.RejectionReason(service); reason != "" {
			return railverdict.NotRun, nil, errors.Newf("refused: %s", reason)
		}
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	var frames []*railproto.Frame
	verdict, _, err := r.Forward(ctx, req, func(_ string, f *railproto.Frame) error {
		frames = append(frames, f)
		return nil
	})
	return verdict, frames, err
}

// membersByZone returns the processes in a zone and all others.
func (c *Cluster) membersByZone(zone string) (members, others []railmember.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	classify := func(m railmember.Member) {
		if m.Zone == zone {
			members = append(members, m)
		} else {
			others = append(others, m)
		}
	}
	for _, e := range c.entries {
		classify(e.router.Self)
	}
	for _, p := range c.agents {
		classify(p.member)
	}
	return members, others
}

func (c *Cluster) agent(name string) *agentProcess {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agents[name]
}

func (c *Cluster) dialer(name string) *raildialer.Dialer {
	return &raildialer.Dialer{Key: sharedKey, Timeout: dialTimeout, Dial: c.Network.Dialer(name)}
}
