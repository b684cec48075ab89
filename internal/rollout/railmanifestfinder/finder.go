package railmanifestfinder

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/core/railsignal"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// originReadersPerRegion is the number of top-ranked agents in a region that query the origin, or agents in the origin's
	// region, when the agents ranked above them do not have the manifest.
	originReadersPerRegion = 3
	// peerWait is how long a queried agent is asked to wait for the manifest; requestTimeout bounds the whole call.
	peerWait       = 400 * time.Millisecond
	requestTimeout = 700 * time.Millisecond
	// idleWait is how long HandleRequest holds a request for a manifest that this agent is not searching for itself.
	idleWait = 60 * time.Millisecond
	// maxWait bounds how long HandleRequest holds a request.
	maxWait = 2 * time.Second
	// maxFailedRounds is the number of failed rounds of peer queries after which any agent queries the origin.
	maxFailedRounds = 4
	// maxOriginReads bounds the reads from the origin until two of them return the same manifest.
	maxOriginReads = 5
	// cacheSize is the number of manifests in the cache.
	cacheSize = 4
)

var errManifestUnknown = errors.New("no agent has the manifest yet")

// Finder finds manifests through other agents and the origin. It is safe for concurrent use; its fields must be set before its
// first use.
type Finder struct {
	Self railmember.Member
	// Members returns the live agents, in all regions, that want the same weights; Self is one of them.
	Members func() []railmember.Member
	// RequestManifest sends a manifest request to another agent.
	RequestManifest func(ctx context.Context, m railmember.Member, req *railproto.ManifestRequest) (*railproto.ManifestReply, error)
	// FetchFromOrigin reads a manifest and its version number from the origin; version 0 is the newest.
	FetchFromOrigin func(ctx context.Context, model string, version int64) (railmanifest.Manifest, int64, error)
	// OriginRegion returns the origin's region.
	OriginRegion func() string

	mu    sync.Mutex
	cache []cachedManifest
	// searching is the version that Find searched for last.
	searching    versionKey
	failedRounds int
	cacheChanged railsignal.Signal
}

// versionKey identifies a version of a model's weights.
type versionKey struct {
	model   string
	version int64
}

type cachedManifest struct {
	model    string
	version  int64
	manifest railmanifest.Manifest
}

// Find returns the manifest of a version and that version's number; version 0 is the newest that the origin has. It returns an
// error if neither the peers nor the origin provide the manifest; callers may retry.
func (f *Finder) Find(ctx context.Context, model string, version int64) (railmanifest.Manifest, int64, error) {
	if e, ok := f.lookUp(model, version); ok {
		return e.manifest, e.version, nil
	}
	f.setSearching(versionKey{model: model, version: version})
	if version > 0 {
		m, err := f.fromPeers(ctx, model, version)
		if err == nil {
			f.addToCache(cachedManifest{model: model, version: version, manifest: m})
			return m, version, nil
		}
		if !f.shouldAskOrigin(model, version, err) {
			return railmanifest.Manifest{}, 0, err
		}
	}
	m, resolved, err := f.fromOrigin(ctx, model, version)
	if err != nil {
		return railmanifest.Manifest{}, 0, err
	}
	f.addToCache(cachedManifest{model: model, version: resolved, manifest: m})
	return m, resolved, nil
}

// HandleRequest handles another agent's request. It returns an empty reply if the manifest does not become known within the requested
// wait, or within idleWait while this agent is not searching for the manifest itself. The only error is that of ctx.
func (f *Finder) HandleRequest(ctx context.Context, req *railproto.ManifestRequest) (*railproto.ManifestReply, error) {
	wanted := versionKey{model: req.GetModel(), version: req.GetVersion()}
	deadlineTimer := time.NewTimer(min(time.Duration(req.GetWaitMillis())*time.Millisecond, maxWait))
	defer deadlineTimer.Stop()
	idleTimer := time.NewTimer(idleWait)
	defer idleTimer.Stop()
	for {
		changed := f.cacheChanged.Changed()
		if e, ok := f.lookUp(req.GetModel(), req.GetVersion()); ok {
			return &railproto.ManifestReply{Content: e.manifest.Encode()}, nil
		}
		select {
		case <-changed:
		case <-idleTimer.C:
			if !f.isSearching(wanted) {
				return &railproto.ManifestReply{}, nil
			}
		case <-deadlineTimer.C:
			return &railproto.ManifestReply{}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// fromPeers queries all sources concurrently and returns the first manifest received.
func (f *Finder) fromPeers(ctx context.Context, model string, version int64) (railmanifest.Manifest, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sources := f.sources(model, version)
	results := make(chan peerResult, len(sources))
	for _, m := range sources {
		go func() {
			manifest, err := f.requestContained(ctx, m, model, version)
			results <- peerResult{manifest: manifest, err: err}
		}()
	}
	err := errManifestUnknown
	for range sources {
		result := <-results
		if result.err == nil {
			return result.manifest, nil
		}
		err = errors.CombineErrors(result.err, err)
	}
	return railmanifest.Manifest{}, err
}

// requestContained is requestFrom, which returns a panic as an error: other sources may have the manifest.
func (f *Finder) requestContained(ctx context.Context, m railmember.Member, model string, version int64) (manifest railmanifest.Manifest, err error) {
	defer func() {
		if p := railpanic.Recovered(recover(), nil, "manifest", "from", m.Name, "model", model, "version", version); p != nil {
			err = p
		}
	}()
	return f.requestFrom(ctx, m, model, version)
}

// peerResult is the outcome of a query to one agent.
type peerResult struct {
	manifest railmanifest.Manifest
	err      error
}

// fromOrigin reads a manifest until two reads agree, since a corrupt manifest can't be detected in any other way.
func (f *Finder) fromOrigin(ctx context.Context, model string, version int64) (railmanifest.Manifest, int64, error) {
	seen := map[string]bool{}
	for range maxOriginReads {
		m, resolved, err := f.FetchFromOrigin(ctx, model, version)
		if err != nil {
			return railmanifest.Manifest{}, 0, err
		}
		key := fmt.Sprintf("%d %s", resolved, m.Digest())
		if seen[key] {
			return m, resolved, nil
		}
		seen[key] = true
	}
	return railmanifest.Manifest{}, 0, errors.Newf("origin returned %d different manifests of version %d", maxOriginReads, version)
}

// requestFrom queries one agent for a manifest. It returns errManifestUnknown if the agent does not have it.
func (f *Finder) requestFrom(ctx context.Context, m railmember.Member, model string, version int64) (railmanifest.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, err := f.RequestManifest(ctx, m, &railproto.ManifestRequest{Model: model, Version: version, WaitMillis: peerWait.Milliseconds()})
	switch {
	case err != nil:
		return railmanifest.Manifest{}, errors.Wrapf(err, "request the manifest from %s", m.Name)
	case len(reply.GetContent()) == 0:
		return railmanifest.Manifest{}, errManifestUnknown
	}
	var manifest railmanifest.Manifest
	err = json.Unmarshal(reply.GetContent(), &manifest)
	return manifest, errors.Wrapf(err, "decode the manifest from %s", m.Name)
}

// sources returns the agents to query: the origin readers of this region that rank above this agent and, if this agent is an
// origin reader in another region than the origin's, the origin readers of the origin's region.
func (f *Finder) sources(model string, version int64) []railmember.Member {
	members := f.Members()
	ranked, rank := f.rankMembers(model, version, members, f.Self.Region)
	peers := ranked[:min(max(rank, 0), originReadersPerRegion)]
	originRegion := f.OriginRegion()
	if rank >= originReadersPerRegion || originRegion == f.Self.Region {
		return peers
	}
	originPeers, _ := f.rankMembers(model, version, members, originRegion)
	return append(peers, originPeers[:min(len(originPeers), originReadersPerRegion)]...)
}

// rankMembers returns a region's agents in the order in which they should obtain a manifest, and this agent's index in it, or -1.
// Entries rank first because they read the configuration directly from the store.
func (f *Finder) rankMembers(model string, version int64, members []railmember.Member, region string) ([]railmember.Member, int) {
	byName := railhash.Ranking[railmember.Member]{Name: func(m railmember.Member) string { return m.Name }}
	regional := slices.DeleteFunc(slices.Clone(members), func(m railmember.Member) bool { return m.Region != region })
	ranked := byName.Top(fmt.Sprintf("%s/%d", model, version), regional, len(regional))
	slices.SortStableFunc(ranked, railmember.EntriesFirst)
	return ranked, slices.IndexFunc(ranked, func(m railmember.Member) bool { return m.Name == f.Self.Name })
}

// shouldAskOrigin counts a failed round of peer queries, which ended with err, and reports whether this agent should query the
// origin.
func (f *Finder) shouldAskOrigin(model string, version int64, err error) bool {
	f.mu.Lock()
	f.failedRounds++
	failedRounds := f.failedRounds
	f.mu.Unlock()
	_, rank := f.rankMembers(model, version, f.Members(), f.Self.Region)
	return rank < originReadersPerRegion || failedRounds >= maxFailedRounds || !errors.Is(err, errManifestUnknown)
}

func (f *Finder) setSearching(v versionKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.searching = v
}

// isSearching reports whether v is the version that this agent searched for last.
func (f *Finder) isSearching(v versionKey) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.searching == v
}

func (f *Finder) lookUp(model string, version int64) (cachedManifest, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.cache {
		if e.model == model && e.version == version {
			return e, true
		}
	}
	return cachedManifest{}, false
}

// addToCache adds a manifest, evicts the oldest ones beyond cacheSize and resets the count of failed rounds.
func (f *Finder) addToCache(e cachedManifest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedRounds = 0
	f.cache = append(f.cache, e)
	f.cache = f.cache[max(len(f.cache)-cacheSize, 0):]
	f.cacheChanged.Notify()
}
