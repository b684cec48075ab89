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
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/standin/railnetwork"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
	"github.com/fulmarrail/fulmarrail/internal/standin/railpower"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	dialTimeout  = 500 * time.Millisecond
	drainLimit   = time.Minute
	pollInterval = 50 * time.Millisecond
)

var key = []byte("cluster-shared-key")

// Cluster is a deployment in memory; its fields are set before its first use.
type Cluster struct {
	Network  *railnetwork.Network
	Platform *railplatform.Platform
	Log      *slog.Logger

	mu      sync.Mutex
	wg      sync.WaitGroup
	folder  railfolder.Folder
	stamp   int64
	routers map[string]*entry
	agents  map[string]*process
}

type entry struct {
	router *railrouter.Router
	power  *railpower.Isolator
	stop   context.CancelFunc
}

type process struct {
	member   railmember.Member
	endpoint railendpoint.Endpoint
	agent    *railagent.Agent
	power    *railpower.Isolator
	reach    *railpower.Isolator
	stop     context.CancelFunc
	ended    chan error
}

// WriteFile writes one file of the operators' folder.
func (c *Cluster) WriteFile(name, content string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stamp++
	c.folder = c.folder.WithFile(railfile.File{Name: name, Stamp: c.stamp, Content: content})
	c.folder.Stamp = c.stamp
}

// RemoveFile removes one file of the operators' folder.
func (c *Cluster) RemoveFile(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stamp++
	c.folder = c.folder.WithoutFile(name, c.stamp)
}

// Folder returns a view of the operators' folder.
func (c *Cluster) Folder() (railfolder.Folder, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.folder, nil
}

// StartRouter starts an entry's router whose view of the folder is the given function.
func (c *Cluster) StartRouter(ctx context.Context, name, zone string, view func() (railfolder.Folder, error)) (*railrouter.Router, error) {
	self := railmember.Member{Name: name, Role: railmember.RoleEntry, Address: name, Zone: zone, Region: zone}
	power := &railpower.Isolator{}
	r := &railrouter.Router{Self: self, Platform: power.WrapStore(c.Platform), ReadFolder: view, Dialer: c.dialer(name), Log: c.Log.With("process", name)}
	ctx, stop := context.WithCancel(ctx)
	if err := c.serveRouter(ctx, name, r); err != nil {
		stop()
		return nil, err
	}
	c.Platform.SetMember(self)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.routers == nil {
		c.routers = map[string]*entry{}
	}
	c.routers[name] = &entry{router: r, power: power, stop: stop}
	c.wg.Go(func() { r.Run(ctx) })
	return r, nil
}

// KillRouter ends an entry's router at once: it says nothing more to anybody, and the platform's list loses it.
func (c *Cluster) KillRouter(name string) {
	c.mu.Lock()
	e := c.routers[name]
	delete(c.routers, name)
	c.mu.Unlock()
	e.power.Isolate()
	c.Network.Kill(name)
	e.stop()
	c.Platform.RemoveMember(name)
}

// StartAgent starts the agent beside an endpoint.
func (c *Cluster) StartAgent(ctx context.Context, name, zone, service string, endpoint railendpoint.Endpoint) error {
	inner, err := c.Network.Listen(name)
	if err != nil {
		return err
	}
	self := railmember.Member{Name: name, Role: railmember.RoleAgent, Address: name, Zone: zone, Region: zone, Service: service}
	power, reach := &railpower.Isolator{}, &railpower.Isolator{}
	ctx, stop := context.WithCancel(ctx)
	p := &process{member: self, endpoint: endpoint, power: power, reach: reach, stop: stop, ended: make(chan error, 1)}
	agent := &railagent.Agent{
		Self: self, SharedKey: key, InternalListener: inner, Platform: reach.WrapStore(power.WrapStore(c.Platform)), Endpoint: power.WrapEndpoint(endpoint),
		Dialer: c.dialer(name), Log: c.Log.With("process", name),
	}
	p.agent = agent
	c.Platform.SetMember(self)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.agents == nil {
		c.agents = map[string]*process{}
	}
	c.agents[name] = p
	c.wg.Go(func() {
		p.ended <- agent.Run(ctx, drainLimit)
		_ = inner.Close()
	})
	return nil
}

// KillAgent ends an agent at once: it says nothing more to anybody and starts nothing more.
func (c *Cluster) KillAgent(name string) {
	p := c.process(name)
	p.power.Isolate()
	c.Network.Kill(name)
	p.stop()
}

// RestartAgent starts a fresh incarnation of a killed agent beside the same endpoint.
func (c *Cluster) RestartAgent(ctx context.Context, name string) error {
	p := c.process(name)
	return c.StartAgent(ctx, name, p.member.Zone, p.member.Service, p.endpoint)
}

// StopAgent stops an agent as planned and returns its result.
func (c *Cluster) StopAgent(name string) error {
	p := c.process(name)
	p.stop()
	return <-p.ended
}

// SetEntryPartitioned cuts an entry off from the platform, or mends the cut.
func (c *Cluster) SetEntryPartitioned(name string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routers[name].power.SetConnected(!cut)
}

// SetAgentPartitioned cuts an agent off from the platform, or mends the cut; its endpoint stays within reach.
func (c *Cluster) SetAgentPartitioned(name string, cut bool) {
	c.process(name).reach.SetConnected(!cut)
}

// SetZonePartitioned cuts the entries and agents of a zone off from the platform and from those of all other zones, or mends the cut.
func (c *Cluster) SetZonePartitioned(zone string, cut bool) {
	inside, outside := c.byZone(zone)
	for _, m := range inside {
		if m.Role == railmember.RoleEntry {
			c.SetEntryPartitioned(m.Name, cut)
		} else {
			c.SetAgentPartitioned(m.Name, cut)
		}
		for _, other := range outside {
			if cut {
				c.Network.Partition(m.Name, other.Name)
			} else {
				c.Network.Heal(m.Name, other.Name)
			}
		}
	}
}

// Wait returns when all processes have ended.
func (c *Cluster) Wait() {
	c.wg.Wait()
}

// WaitUntil waits until a condition holds, or returns an error when ctx is done.
func (c *Cluster) WaitUntil(ctx context.Context, what string, holds func() bool) error {
	for !holds() {
		if !railtimer.Sleep(ctx, pollInterval) {
			return errors.Wrapf(ctx.Err(), "wait until %s", what)
		}
	}
	return nil
}

// WaitRevision waits until all routers have a revision of at least the given number.
func (c *Cluster) WaitRevision(ctx context.Context, number uint64) error {
	return c.WaitUntil(ctx, fmt.Sprintf("revision %d is in force", number), func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, e := range c.routers {
			if revision, _ := e.router.Revision(); revision.Number < number {
				return false
			}
		}
		return true
	})
}

// LowestRevision returns the lowest revision in force at any process.
func (c *Cluster) LowestRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	lowest := uint64(math.MaxUint64)
	for _, e := range c.routers {
		revision, _ := e.router.Revision()
		lowest = min(lowest, revision.Number)
	}
	for _, p := range c.agents {
		lowest = min(lowest, p.agent.Revision())
	}
	return lowest
}

// NewRequest returns a request of a customer with the given deadline.
func NewRequest(service, customer, callerKey, body string, idempotent bool, deadline time.Duration) railrequest.Request {
	now := time.Now()
	return railrequest.Request{
		ID: uuid.NewString(), Service: service, Customer: customer, Weight: 1, Priority: 5, Key: callerKey, Idempotent: idempotent,
		Path: "/", Body: []byte(body), ReceivedAt: now, Deadline: now.Add(deadline),
	}
}

// Submit sends a request through a router, as an entry's HTTP side does, and returns its verdict and the answer's frames.
func Submit(ctx context.Context, r *railrouter.Router, req railrequest.Request) (railverdict.Verdict, []*railproto.Frame, error) {
	revision, _ := r.Revision()
	if service, ok := revision.Spec().Service(req.Service); ok {
		if reason := r.RefusalReason(service); reason != "" {
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

// byZone returns the processes in a zone and those outside it.
func (c *Cluster) byZone(zone string) (inside, outside []railmember.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sort := func(m railmember.Member) {
		if m.Zone == zone {
			inside = append(inside, m)
		} else {
			outside = append(outside, m)
		}
	}
	for _, e := range c.routers {
		sort(e.router.Self)
	}
	for _, p := range c.agents {
		sort(p.member)
	}
	return inside, outside
}

func (c *Cluster) process(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agents[name]
}

func (c *Cluster) dialer(name string) *raildialer.Dialer {
	return &raildialer.Dialer{Key: key, Timeout: dialTimeout, Dial: c.Network.Dialer(name)}
}
