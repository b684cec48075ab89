package railfinder

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railsignal"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// leaders is the number of agents of a region that ask the origin, or its region, when the ones before them do not know
	// the manifest.
	leaders = 3
	// askWait is the time for which another agent is asked to wait until it knows the manifest, and askLimit bounds a call.
	askWait  = 400 * time.Millisecond
	askLimit = 700 * time.Millisecond
	// idleWait is the time for which an agent lets others wait for a manifest that it does not look for itself.
	idleWait = 60 * time.Millisecond
	// longestWait bounds the time for which an asker may wait here.
	longestWait = 2 * time.Second
	// patience is the number of fruitless rounds after which any agent asks the origin.
	patience = 4
	// mostReads bounds the number of times that a manifest is read from the origin until two are the same.
	mostReads = 5
	// kept is the number of manifests that are remembered.
	kept = 4
)

var errNotKnown = errors.New("no agent knows the manifest yet")

// Finder is safe for concurrent use; its fields are set before its first use.
type Finder struct {
	Self railmember.Member
	// Members returns the live agents that want the same weights, in all regions and with this one.
	Members func() []railmember.Member
	// Ask asks another agent.
	Ask func(ctx context.Context, m railmember.Member, req *railproto.ManifestRequest) (*railproto.ManifestReply, error)
	// Origin reads a manifest from the origin; version 0 is the newest.
	Origin func(ctx context.Context, model string, version int64) (railmanifest.Manifest, int64, error)
	// OriginRegion is the region in which the origin stands.
	OriginRegion func() string

	mu      sync.Mutex
	known   []entry
	looking version
	rounds  int
	arrival railsignal.Signal
}

// version is a version of a model's weights.
type version struct {
	model  string
	number int64
}

type entry struct {
	model    string
	version  int64
	manifest railmanifest.Manifest
}

// Find returns the manifest of a version, and the version; version 0 is the newest that the origin has.
func (f *Finder) Find(ctx context.Context, model string, number int64) (railmanifest.Manifest, int64, error) {
	if e, ok := f.lookUp(model, number); ok {
		return e.manifest, e.version, nil
	}
	f.look(version{model: model, number: number})
	if number > 0 {
		m, err := f.fromAgents(ctx, model, number)
		if err == nil {
			f.remember(entry{model: model, version: number, manifest: m})
			return m, number, nil
		}
		if !f.asksOrigin(model, number, err) {
			return railmanifest.Manifest{}, 0, err
		}
	}
	m, found, err := f.fromOrigin(ctx, model, number)
	if err != nil {
		return railmanifest.Manifest{}, 0, err
	}
	f.remember(entry{model: model, version: found, manifest: m})
	return m, found, nil
}

// Answer returns what another agent asks for, or an empty reply when it is not known in the time that the other waits. While this
// agent does not look for the manifest itself, others wait for a moment only.
func (f *Finder) Answer(ctx context.Context, req *railproto.ManifestRequest) (*railproto.ManifestReply, error) {
	wanted := version{model: req.GetModel(), number: req.GetVersion()}
	deadline := time.NewTimer(min(time.Duration(req.GetWaitMillis())*time.Millisecond, longestWait))
	defer deadline.Stop()
	idle := time.NewTimer(idleWait)
	defer idle.Stop()
	for {
		arrival := f.arrival.Changed()
		if e, ok := f.lookUp(req.GetModel(), req.GetVersion()); ok {
			return &railproto.ManifestReply{Content: e.manifest.Encode()}, nil
		}
		select {
		case <-arrival:
		case <-idle.C:
			if !f.looksFor(wanted) {
				return &railproto.ManifestReply{}, nil
			}
		case <-deadline.C:
			return &railproto.ManifestReply{}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// fromAgents asks all agents at once that go before this one: those of its region, and for its first ones those of the origin's.
func (f *Finder) fromAgents(ctx context.Context, model string, version int64) (railmanifest.Manifest, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sources := f.sources(model, version)
	answers := make(chan answer, len(sources))
	for _, m := range sources {
		go func() {
			manifest, err := f.ask(ctx, m, model, version)
			answers <- answer{manifest: manifest, err: err}
		}()
	}
	err := errNotKnown
	for range sources {
		a := <-answers
		if a.err == nil {
			return a.manifest, nil
		}
		err = errors.CombineErrors(a.err, err)
	}
	return railmanifest.Manifest{}, err
}

// answer is what an agent answers.
type answer struct {
	manifest railmanifest.Manifest
	err      error
}

// fromOrigin reads a manifest until two answers are the same, since nothing else tells a spoilt one.
func (f *Finder) fromOrigin(ctx context.Context, model string, version int64) (railmanifest.Manifest, int64, error) {
	seen := map[string]bool{}
	for range mostReads {
		m, found, err := f.Origin(ctx, model, version)
		if err != nil {
			return railmanifest.Manifest{}, 0, err
		}
		digest := fmt.Sprintf("%d %s", found, m.Digest())
		if seen[digest] {
			return m, found, nil
		}
		seen[digest] = true
	}
	return railmanifest.Manifest{}, 0, errors.Newf("the origin gave %d manifests of version %d that differ from each other", mostReads, version)
}

// ask asks another agent; errNotKnown says that it does not know.
func (f *Finder) ask(ctx context.Context, m railmember.Member, model string, version int64) (railmanifest.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	reply, err := f.Ask(ctx, m, &railproto.ManifestRequest{Model: model, Version: version, WaitMillis: askWait.Milliseconds()})
	switch {
	case err != nil:
		return railmanifest.Manifest{}, errors.Wrapf(err, "ask %s for the manifest", m.Name)
	case len(reply.GetContent()) == 0:
		return railmanifest.Manifest{}, errNotKnown
	}
	var manifest railmanifest.Manifest
	err = json.Unmarshal(reply.GetContent(), &manifest)
	return manifest, errors.Wrapf(err, "decode the manifest from %s", m.Name)
}

// sources returns the agents to ask, in their order.
func (f *Finder) sources(model string, version int64) []railmember.Member {
	members := f.Members()
	local, rank := f.order(model, version, members, f.Self.Region)
	before := local[:min(max(rank, 0), leaders)]
	origin := f.OriginRegion()
	if rank >= leaders || origin == f.Self.Region {
		return before
	}
	outside, _ := f.order(model, version, members, origin)
	return append(before, outside[:min(len(outside), leaders)]...)
}

// order returns a region's agents in the order in which they are to know a manifest first, and this agent's place. Entries go
// first, which read the configuration from the store themselves.
func (f *Finder) order(model string, version int64, members []railmember.Member, region string) ([]railmember.Member, int) {
	byName := railhash.Ranking[railmember.Member]{Name: func(m railmember.Member) string { return m.Name }}
	local := slices.DeleteFunc(slices.Clone(members), func(m railmember.Member) bool { return m.Region != region })
	list := byName.Top(fmt.Sprintf("%s/%d", model, version), local, len(local))
	slices.SortStableFunc(list, railmember.EntriesFirst)
	return list, slices.IndexFunc(list, func(m railmember.Member) bool { return m.Name == f.Self.Name })
}

// asksOrigin reports whether this agent is to ask the origin after the others did not give the manifest.
func (f *Finder) asksOrigin(model string, version int64, err error) bool {
	f.mu.Lock()
	f.rounds++
	rounds := f.rounds
	f.mu.Unlock()
	_, rank := f.order(model, version, f.Members(), f.Self.Region)
	return rank < leaders || rounds >= patience || !errors.Is(err, errNotKnown)
}

func (f *Finder) look(v version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.looking = v
}

// looksFor reports whether this agent has looked for a version last.
func (f *Finder) looksFor(v version) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.looking == v
}

func (f *Finder) lookUp(model string, version int64) (entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.known {
		if e.model == model && e.version == version {
			return e, true
		}
	}
	return entry{}, false
}

func (f *Finder) remember(e entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rounds = 0
	f.known = append(f.known, e)
	f.known = f.known[max(len(f.known)-kept, 0):]
	f.arrival.Notify()
}
