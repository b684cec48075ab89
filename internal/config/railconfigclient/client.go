package railconfigclient

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/config/railactiveconfig"
	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// maxPollWait is the longest time for which an entry holds a poll open while nothing changes. callTimeout bounds every other call,
	// and the reply to a poll beyond that time.
	maxPollWait = 15 * time.Second
	callTimeout = time.Second
	// pollShare bounds that time as a share of the rollout time, so that an agent whose poll is lost still learns of a version in time.
	pollShare      = 0.25
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
	// originBackend is the name of the origin's service in the agent's catalog; a brief does not carry its real name.
	originBackend = "origin of weights"
)

var errStale = errors.New("entry's configuration is missing or stale")

// Client polls the entries for the configuration. It is safe for concurrent use once Run is called; set its fields before that.
type Client struct {
	// Self describes this agent.
	Self   railmember.Member
	Config *railactiveconfig.Config
	// MaxConfigAge is the age above which an entry's configuration is not taken.
	MaxConfigAge time.Duration
	// ZoneRegions holds the region of each zone.
	ZoneRegions map[string]string
	// RequestBrief requests the configuration from the entry at an address, and RequestAgents the list of the service's agents.
	RequestBrief  func(ctx context.Context, address string, req *railproto.BriefRequest) (*railproto.BriefReply, error)
	RequestAgents func(ctx context.Context, address string, req *railproto.AgentsRequest) (*railproto.AgentsReply, error)
	// Store is read if no entry answers.
	Store Store
	// OnChange is called after each change of the configuration.
	OnChange func()
	// Now returns the time since boot, including time in suspend.
	Now func() time.Duration
	Log *slog.Logger

	// confirmedAt is the time since boot, in nanoseconds, at which the configuration was last known to be current. It is not guarded by
	// mu, which is held during calls.
	confirmedAt atomic.Int64

	mu        sync.Mutex
	entries   []railmember.Member
	lastEntry railmember.Member
	knownHash uint64
	listedAt  time.Time
	agents    []railinstance.Instance
}

// Store reads the platform's store for an agent.
type Store interface {
	// Entries returns the registered entries.
	Entries(ctx context.Context) ([]railmember.Member, error)
	// LoadConfig reads the operator's configuration and puts it in force.
	LoadConfig(ctx context.Context) error
	// Instances returns the registered endpoints.
	Instances(ctx context.Context) ([]railinstance.Instance, error)
}

// Run polls for configuration changes until ctx is done.
func (c *Client) Run(ctx context.Context) {
	retryBackoff := &backoff.ExponentialBackOff{InitialInterval: initialBackoff, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: maxBackoff}
	retryBackoff.Reset()
	for ctx.Err() == nil {
		if c.poll(ctx) {
			retryBackoff.Reset()
			continue
		}
		if !c.readStore(ctx) {
			railtimer.Sleep(ctx, retryBackoff.NextBackOff())
		}
	}
}

// Entries returns the last known entries.
func (c *Client) Entries() []railmember.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries
}

// MaxChangeAge returns the longest time for which a change that is learned of now may have existed: the time since the configuration
// was last known to be current.
func (c *Client) MaxChangeAge() time.Duration {
	return c.Now() - time.Duration(c.confirmedAt.Load())
}

// Instances returns the endpoints from a cached list that is at most maxAge old. If an older list can't be refreshed, it returns
// that one.
func (c *Client) Instances(maxAge time.Duration) []railinstance.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.listedAt) < maxAge {
		return c.agents
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	list, err := c.fetchInstances(ctx)
	if err != nil {
		c.Log.Warn("can't list agents; using the last known list", "err", err, "known", len(c.agents))
		return c.agents
	}
	c.agents, c.listedAt = list, time.Now()
	return c.agents
}

// fetchInstances requests the endpoints from the entry that answered last, and reads them from the store if that fails.
func (c *Client) fetchInstances(ctx context.Context) ([]railinstance.Instance, error) {
	if c.lastEntry.Address == "" {
		return c.Store.Instances(ctx)
	}
	reply, err := c.RequestAgents(ctx, c.lastEntry.Address, &railproto.AgentsRequest{Service: c.Self.Service})
	if err != nil || len(reply.GetAgents()) == 0 {
		return c.Store.Instances(ctx)
	}
	_, port, err := net.SplitHostPort(c.Self.Address)
	if err != nil {
		return nil, errors.Wrap(err, "parse own address")
	}
	var list []railinstance.Instance
	for _, a := range reply.GetAgents() {
		list = append(list, railinstance.Instance{
			Service: c.Self.Service, Address: net.JoinHostPort(a.GetHost(), port), Zone: a.GetZone(), Region: c.ZoneRegions[a.GetZone()],
		})
	}
	return list, nil
}

// poll requests the configuration from the entries, nearest first, until one returns a fresh one. It reports whether one did or
// ctx is done. The next poll starts with the entry that answered.
func (c *Client) poll(ctx context.Context) bool {
	for _, m := range c.candidates() {
		start := c.Now()
		reply, err := c.pollEntry(ctx, m)
		delay := max(c.Now()-start-time.Duration(reply.GetHeldMillis())*time.Millisecond, 0)
		if ctx.Err() != nil {
			return true
		}
		if err != nil {
			c.Log.Info("poll of entry failed; trying the next entry", "entry", m.Name, "err", err)
			c.setLastEntry(railmember.Member{})
			continue
		}
		c.setLastEntry(m)
		c.applyBrief(reply, delay)
		c.confirm(time.Duration(reply.GetAgeMillis())*time.Millisecond + delay)
		return true
	}
	return false
}

func (c *Client) pollEntry(ctx context.Context, m railmember.Member) (*railproto.BriefReply, error) {
	pollWait := min(maxPollWait, railtimer.Scale(pollShare, c.Config.RolloutTime))
	ctx, cancel := context.WithTimeout(ctx, pollWait+callTimeout)
	defer cancel()
	reply, err := c.RequestBrief(ctx, m.Address, &railproto.BriefRequest{Service: c.Self.Service, Known: c.knownHash, WaitMillis: pollWait.Milliseconds()})
	switch {
	case err != nil:
		return nil, err
	case reply.GetHash() == 0 || time.Duration(reply.GetAgeMillis())*time.Millisecond > c.MaxConfigAge:
		return nil, errStale
	}
	return reply, nil
}

// applyBrief puts the configuration in a brief in force unless its hash is unchanged. delay is the longest time for which the brief may
// have been on its way.
func (c *Client) applyBrief(b *railproto.BriefReply, delay time.Duration) {
	if b.GetModel() == "" || b.GetHash() == c.knownHash {
		return
	}
	c.knownHash = b.GetHash()
	wantedVersions := map[string]int64{}
	for _, v := range b.GetVersions() {
		age := time.Duration(v.GetForMillis())*time.Millisecond + delay
		c.Config.RecordWantedVersion(b.GetModel(), v.GetVersion(), age, v.GetGuessed())
		wantedVersions[b.GetModel()] = v.GetVersion()
	}
	backends := []railbackend.Backend{{Name: c.Self.Service, Engine: &railbackend.Engine{
		Model: b.GetModel(), Layers: int(b.GetLayers()), Chunks: int(b.GetChunks()), ChunkBytes: int(b.GetChunkBytes()),
	}}}
	if b.GetOrigin() != "" {
		backends = append(backends, railbackend.Backend{Name: originBackend, OriginAddress: b.GetOrigin(), Zone: b.GetOriginZone(), Link: int(b.GetOriginLink())})
	}
	c.Config.Set(railcatalog.Catalog{Version: b.GetConfiguration()}.WithBackends(backends).WithWantedVersions(wantedVersions))
	c.setEntries(b.GetEntries())
	c.OnChange()
}

// readStore reads the entries from the store. It returns true if these are the first known entries, which can be polled at once;
// otherwise it reads the configuration from the store as well.
func (c *Client) readStore(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := c.Store.Entries(callCtx)
	if err != nil {
		c.Log.Warn("can't read entries from the store", "err", err)
		return false
	}
	c.mu.Lock()
	knownBefore := len(c.entries)
	if len(entries) > 0 { // A store that was restored from an older copy may lack them for a moment.
		c.entries = entries
	}
	c.mu.Unlock()
	if knownBefore == 0 && len(entries) > 0 {
		return true
	}
	start := c.Now()
	if err := c.Store.LoadConfig(callCtx); err != nil {
		c.Log.Warn("can't read configuration from the store", "err", err)
		return false
	}
	c.confirm(c.Now() - start)
	c.OnChange()
	return false
}

// confirm records that the configuration was current the given time ago. Only Run calls it.
func (c *Client) confirm(age time.Duration) {
	c.confirmedAt.Store(max(c.confirmedAt.Load(), int64(c.Now()-age)))
}

// candidates returns the entries in polling order: the one that answered last, then by increasing distance, random among equals.
func (c *Client) candidates() []railmember.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := slices.Clone(c.entries)
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	slices.SortStableFunc(list, func(a, b railmember.Member) int { return cmp.Compare(c.distance(a), c.distance(b)) })
	return list
}

func (c *Client) distance(m railmember.Member) int {
	switch {
	case m.Name == c.lastEntry.Name:
		return 0
	case m.Zone == c.Self.Zone:
		return 1
	case m.Region == c.Self.Region:
		return 2
	}
	return 3
}

func (c *Client) setLastEntry(m railmember.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastEntry = m
}

func (c *Client) setEntries(list []*railproto.EntryPlace) {
	var entries []railmember.Member
	for _, e := range list {
		entries = append(entries, railmember.Member{
			Name: e.GetName(), Role: railmember.RoleEntry, Address: e.GetAddress(), Zone: e.GetZone(), Region: c.ZoneRegions[e.GetZone()],
			Link: int(e.GetLink()),
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(entries) > 0 {
		c.entries = entries
	}
}
