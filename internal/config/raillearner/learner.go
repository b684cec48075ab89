package raillearner

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/config/railbriefer"
	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/config/railcurrent"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// waitForChange is the time for which an entry is asked to wait for a change, and answerLimit that for its answer beyond it.
	waitForChange = 15 * time.Second
	answerLimit   = time.Second
	firstPause    = 100 * time.Millisecond
	longestPause  = time.Second
	// originName stands for the origin among the services; agents do not learn its own name.
	originName = "origin of weights"
)

var errStale = errors.New("the entry's configuration is too old")

// Client is safe for concurrent use once it runs; its fields are set before Run.
type Client struct {
	// Self is this agent.
	Self   railmember.Member
	Config *railcurrent.Config
	// ZoneRegions holds the region of each zone.
	ZoneRegions map[string]string
	// RequestBrief asks the entry at an address for its brief, and AskAgents for the other agents.
	RequestBrief  func(ctx context.Context, address string, req *railproto.BriefRequest) (*railproto.BriefReply, error)
	RequestAgents func(ctx context.Context, address string, req *railproto.AgentsRequest) (*railproto.AgentsReply, error)
	// Store is asked when no entry answers.
	Store Store
	// OnChange is called after each change.
	OnChange func()
	Log      *slog.Logger

	mu      sync.Mutex
	entries []railmember.Member
	entry   railmember.Member
	known   uint64
	listed  time.Time
	agents  []railinstance.Instance
}

// Store is the platform's store as an agent reads it.
type Store interface {
	// Entries returns the entries.
	Entries(ctx context.Context) ([]railmember.Member, error)
	// LoadConfig takes the operator's configuration over.
	LoadConfig(ctx context.Context) error
	// Instances returns the endpoints.
	Instances(ctx context.Context) ([]railinstance.Instance, error)
}

// Run keeps the agent informed until ctx is done.
func (l *Client) Run(ctx context.Context) {
	pause := &backoff.ExponentialBackOff{InitialInterval: firstPause, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: longestPause}
	pause.Reset()
	for ctx.Err() == nil {
		if l.learn(ctx) {
			pause.Reset()
			continue
		}
		if !l.readStore(ctx) {
			railtimer.Sleep(ctx, pause.NextBackOff())
		}
	}
}

// Entries returns the entries as they were known last.
func (l *Client) Entries() []railmember.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries
}

// Instances returns the endpoints as they were listed a given time ago at the most, or as they could be read last.
func (l *Client) Instances(oldest time.Duration) []railinstance.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.listed) < oldest {
		return l.agents
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	list, err := l.instances(ctx)
	if err != nil {
		l.Log.Warn("agents not read, those known last are used", "err", err, "known", len(l.agents))
		return l.agents
	}
	l.agents, l.listed = list, time.Now()
	return l.agents
}

// instances asks the entry that answered last, or else the store.
func (l *Client) instances(ctx context.Context) ([]railinstance.Instance, error) {
	if l.entry.Address == "" {
		return l.Store.Instances(ctx)
	}
	reply, err := l.RequestAgents(ctx, l.entry.Address, &railproto.AgentsRequest{Service: l.Self.Service})
	if err != nil || len(reply.GetAgents()) == 0 {
		return l.Store.Instances(ctx)
	}
	_, port, err := net.SplitHostPort(l.Self.Address)
	if err != nil {
		return nil, errors.Wrap(err, "read the own address")
	}
	var list []railinstance.Instance
	for _, a := range reply.GetAgents() {
		list = append(list, railinstance.Instance{
			Service: l.Self.Service, Address: net.JoinHostPort(a.GetHost(), port), Zone: a.GetZone(), Region: l.ZoneRegions[a.GetZone()],
		})
	}
	return list, nil
}

// learn asks the entries, the nearest ones first, until one tells something of use; that one is asked first the next time.
func (l *Client) learn(ctx context.Context) bool {
	for _, m := range l.candidates() {
		reply, err := l.ask(ctx, m)
		if ctx.Err() != nil {
			return true
		}
		if err != nil {
			l.Log.Info("entry not asked any more", "entry", m.Name, "err", err)
			l.setEntry(railmember.Member{})
			continue
		}
		l.setEntry(m)
		l.take(reply)
		return true
	}
	return false
}

func (l *Client) ask(ctx context.Context, m railmember.Member) (*railproto.BriefReply, error) {
	ctx, cancel := context.WithTimeout(ctx, waitForChange+answerLimit)
	defer cancel()
	reply, err := l.RequestBrief(ctx, m.Address, &railproto.BriefRequest{Service: l.Self.Service, Known: l.known, WaitMillis: waitForChange.Milliseconds()})
	switch {
	case err != nil:
		return nil, err
	case reply.GetHash() == 0 || time.Duration(reply.GetAgeMillis())*time.Millisecond > railbriefer.MaxConfigAge:
		return nil, errStale
	}
	return reply, nil
}

// take takes a brief over.
func (l *Client) take(b *railproto.BriefReply) {
	if b.GetModel() == "" || b.GetHash() == l.known {
		return
	}
	l.known = b.GetHash()
	wanted := map[string]int64{}
	for _, v := range b.GetVersions() {
		l.Config.RecordWantedVersion(b.GetModel(), v.GetVersion(), time.Duration(v.GetForMillis())*time.Millisecond)
		wanted[b.GetModel()] = v.GetVersion()
	}
	backends := []railbackend.Backend{{Name: l.Self.Service, Engine: &railbackend.Engine{
		Model: b.GetModel(), Layers: int(b.GetLayers()), Chunks: int(b.GetChunks()), ChunkBytes: int(b.GetChunkBytes()),
	}}}
	if b.GetOrigin() != "" {
		backends = append(backends, railbackend.Backend{Name: originName, OriginAddress: b.GetOrigin(), Zone: b.GetOriginZone(), Link: int(b.GetOriginLink())})
	}
	l.Config.Set(railcatalog.Catalog{Version: b.GetConfiguration()}.WithBackends(backends).WithWantedVersions(wanted))
	l.setEntries(b.GetEntries())
	l.OnChange()
}

// readStore reads what no entry told; it reports whether there are entries to ask that were not known.
func (l *Client) readStore(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	entries, err := l.Store.Entries(bounded)
	if err != nil {
		l.Log.Warn("entries not read", "err", err)
		return false
	}
	l.mu.Lock()
	before := len(l.entries)
	l.entries = entries
	l.mu.Unlock()
	if before == 0 && len(entries) > 0 {
		return true
	}
	if err := l.Store.LoadConfig(bounded); err != nil {
		l.Log.Warn("configuration not read", "err", err)
		return false
	}
	l.OnChange()
	return false
}

// candidates returns the entries in the order in which they are asked: the one that answered last, then the nearest.
func (l *Client) candidates() []railmember.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := slices.Clone(l.entries)
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	slices.SortStableFunc(list, func(a, b railmember.Member) int { return cmp.Compare(l.distance(a), l.distance(b)) })
	return list
}

func (l *Client) distance(m railmember.Member) int {
	switch {
	case m.Name == l.entry.Name:
		return 0
	case m.Zone == l.Self.Zone:
		return 1
	case m.Region == l.Self.Region:
		return 2
	}
	return 3
}

func (l *Client) setEntry(m railmember.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry = m
}

func (l *Client) setEntries(places []*railproto.EntryPlace) {
	var entries []railmember.Member
	for _, e := range places {
		entries = append(entries, railmember.Member{
			Name: e.GetName(), Role: railmember.RoleEntry, Address: e.GetAddress(), Zone: e.GetZone(), Region: l.ZoneRegions[e.GetZone()],
			Link: int(e.GetLink()),
		})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(entries) > 0 {
		l.entries = entries
	}
}
