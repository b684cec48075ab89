package railswarm

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railpicker"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// pollInterval is how often a job looks for new picks when nothing has changed.
	pollInterval = 20 * time.Millisecond
	// membersRefreshInterval is how often the list of agents is read again.
	membersRefreshInterval = 500 * time.Millisecond
	// regionLevel is the level of requests within a region. Requests from other regions have level 0 and are served first.
	regionLevel   = 1
	originTimeout = 1500 * time.Millisecond
	// originFallbackDelay is the time without a new chunk after which agents outside of the origin's region use the origin too, if
	// no other region is reachable.
	originFallbackDelay = 4 * time.Second
	// progressLogInterval is the interval between progress messages of a download that takes long.
	progressLogInterval = time.Second
	shortDigestLen      = 12
	// storeWaitLimit exceeds the duration of any chunk request.
	storeWaitLimit = time.Hour
)

var (
	errCorrupt      = errors.New("chunk does not match its digest")
	errNotHeld      = errors.New("agent does not hold the chunk")
	errUnknownAgent = errors.New("unknown agent")
)

// job is the download of one manifest.
type job struct {
	swarm    *Swarm
	manifest railmanifest.Manifest
	digest   string
	// key identifies the manifest in inventories: a hash of its digest.
	key  uint64
	wake chan struct{}

	mu      sync.Mutex
	picker  railpicker.Picker
	gossip  gossipState
	members []railmember.Member
	// importRanks caches this agent's position in the import order of each chunk.
	importRanks map[int]int
	// neighbours reports for each agent of the region whether it is a neighbour.
	neighbours map[string]bool
	// lastProgressLog is when progress was last logged.
	lastProgressLog time.Time
}

// start prepares the picker and adds the chunks that the store holds already.
func (j *job) start() {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	j.picker.StartTime, j.lastProgressLog = now, now
	j.picker.ImportRank, j.picker.Relay = j.importRank, j.swarm.Self.IsEntry()
	j.syncFromStore(now)
}

// syncFromStore marks the chunks that the store holds, whatever their source.
func (j *job) syncFromStore(now time.Time) {
	for i, digest := range j.manifest.Chunks {
		if !j.picker.Has(i) && j.swarm.Store.Has(digest) {
			j.picker.MarkHeld(i, now)
		}
	}
}

// run requests chunks until the store holds all of them or ctx is done.
func (j *job) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	j.updateMembers()
	wg.Go(func() { j.refreshMembers(ctx) })
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		picks, missing := j.nextPicks(time.Now())
		for _, p := range picks {
			wg.Go(func() { j.fetchChunk(ctx, p) })
		}
		j.sendInventories()
		if missing == 0 {
			return nil
		}
		timer.Reset(pollInterval)
		select {
		case <-ctx.Done():
		case <-j.wake:
		case <-timer.C:
		}
	}
	return ctx.Err()
}

// nextPicks returns the picks to request now, and the number of missing chunks.
func (j *job) nextPicks(now time.Time) (picks []railpicker.Pick, missing int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.syncFromStore(now)
	j.logProgress(now)
	j.picker.FromOrigin = j.importsFromOrigin(now)
	for j.swarm.withinRate(now) {
		p, ok := j.picker.Next(now)
		if !ok {
			break
		}
		if p.From != railpicker.Origin {
			j.swarm.countDownload(now, int(j.manifest.ChunkSize))
		}
		picks = append(picks, p)
	}
	return picks, j.picker.Missing()
}

// importsFromOrigin reports whether this agent imports from the origin: it is in the origin's region, or no other region is
// reachable and no chunk has arrived for originFallbackDelay.
func (j *job) importsFromOrigin(now time.Time) bool {
	return j.regionChain()[0] == j.swarm.Self.Region || !j.picker.OtherRegionsReachable(now) && now.Sub(j.picker.LastProgress()) > originFallbackDelay
}

// logProgress logs the progress of a download that takes long, once per progressLogInterval.
func (j *job) logProgress(now time.Time) {
	if now.Sub(j.lastProgressLog) < progressLogInterval {
		return
	}
	j.lastProgressLog = now
	j.swarm.Log.Info("fetch in progress", "manifest", j.digest[:shortDigestLen], "chunks", j.picker.Chunks, "missing", j.picker.Missing(),
		"draws", j.picker.FromOrigin, "agents", len(j.members), "heard", j.picker.ReportingRegionPeers(), "after", now.Sub(j.picker.StartTime))
}

// fetchChunk requests a picked chunk, stores it and records the outcome. It stops when the chunk arrives from elsewhere.
func (j *job) fetchChunk(ctx context.Context, p railpicker.Pick) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if j.swarm.Store.Wait(ctx, j.manifest.Chunks[p.Chunk], storeWaitLimit) {
			cancel() // The chunk arrived from another source.
		}
	}()
	err := j.requestContained(ctx, p)
	outcome := railpicker.Received
	switch {
	case errors.Is(err, errCorrupt):
		outcome = railpicker.Corrupt
	case err != nil:
		outcome = railpicker.Failed
	}
	if err != nil && ctx.Err() == nil {
		j.swarm.Log.Debug("chunk request failed", "chunk", p.Chunk, "from", p.From, "err", err)
	}
	if j.finish(p, outcome) {
		j.notifyNextRegion(p.Chunk)
	}
	j.signal()
}

// finish records the outcome of a request for a chunk. It reports whether this process has imported the chunk into its region.
func (j *job) finish(p railpicker.Pick, outcome railpicker.Outcome) (imported bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.picker.Finish(p, outcome, time.Now())
}

// requestContained is requestChunk. A panic is a failed request: the chunk is requested elsewhere.
func (j *job) requestContained(ctx context.Context, p railpicker.Pick) (err error) {
	defer func() {
		if recovered := railpanic.Recovered(recover(), j.swarm.Log, "chunk", "chunk", p.Chunk, "from", p.From); recovered != nil {
			err = recovered
		}
	}()
	return j.requestChunk(ctx, p)
}

func (j *job) requestChunk(ctx context.Context, p railpicker.Pick) error {
	s := j.swarm
	digest := j.manifest.Chunks[p.Chunk]
	if p.From == railpicker.Origin {
		ctx, cancel := context.WithTimeout(ctx, originTimeout)
		defer cancel()
		data, err := s.FetchFromOrigin(ctx, digest)
		if err != nil {
			return errors.Wrap(err, "draw from the origin")
		}
		s.countDownload(time.Now(), len(data)) // Failed requests do not count against the download rate.
		return s.verifyAndStore(ctx, j.manifest, p.Chunk, data, "the origin")
	}
	m, ok := j.sender(p.From)
	if !ok {
		return errUnknownAgent
	}
	level := regionLevel
	if m.Region != s.Self.Region {
		level = 0
	}
	reply, err := s.RequestChunk(ctx, m, &railproto.ChunkRequest{Digest: digest, Level: int32(level)})
	switch {
	case s.Store.Has(digest):
		return nil
	case err != nil:
		return err
	case len(reply.GetData()) == 0:
		return errNotHeld
	}
	return s.verifyAndStore(ctx, j.manifest, p.Chunk, reply.GetData(), p.From)
}

// refreshMembers keeps the list of agents up to date until ctx is done.
func (j *job) refreshMembers(ctx context.Context) {
	for railtimer.Sleep(ctx, membersRefreshInterval) {
		j.updateMembers()
	}
}

// updateMembers reads the list of agents and recomputes what depends on it.
func (j *job) updateMembers() {
	members := j.swarm.Members()
	j.mu.Lock()
	defer j.mu.Unlock()
	if !slices.Equal(members, j.members) {
		j.members, j.importRanks = members, map[int]int{}
		region := filterRegion(members, j.swarm.Self.Region)
		j.picker.RegionPeers, j.picker.RegionRelays = len(region)-1, len(filterRelays(region))
		j.neighbours = j.computeNeighbours()
	}
}

// importRank returns this agent's position in the import order of a chunk, 0 being the first.
func (j *job) importRank(chunk int) int {
	rank, ok := j.importRanks[chunk]
	if !ok {
		order := j.importOrder(chunk, j.swarm.Self.Region)
		rank = slices.IndexFunc(order, func(m railmember.Member) bool { return m.Name == j.swarm.Self.Name })
		j.importRanks[chunk] = rank
	}
	return rank
}

// importOrder returns a region's agents in the order in which they import a chunk, relays first.
func (j *job) importOrder(chunk int, region string) []railmember.Member {
	order := byName.Top(j.manifest.Chunks[chunk], filterRegion(j.members, region), len(j.members))
	slices.SortStableFunc(order, railmember.EntriesFirst)
	return order
}

// regionChain returns the regions in the order in which each imports from the previous one, the origin's region first if it
// has agents. Importing along a chain spares the links of the first region's agents.
func (j *job) regionChain() []string {
	regions := []string{j.swarm.Self.Region}
	for _, m := range j.members {
		regions = append(regions, m.Region)
	}
	slices.Sort(regions)
	regions = slices.Compact(regions)
	origin := j.swarm.OriginRegion()
	if i := slices.Index(regions, origin); i > 0 {
		regions = slices.Insert(slices.Delete(regions, i, i+1), 0, origin)
	}
	return regions
}

// sender returns the agent of the given name if it has sent an inventory.
func (j *job) sender(name string) (railmember.Member, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	m, ok := j.gossip.senders[name]
	return m, ok
}

// signal wakes run, as new picks may be possible.
func (j *job) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

func filterRegion(agents []railmember.Member, region string) []railmember.Member {
	var selected []railmember.Member
	for _, m := range agents {
		if m.Region == region {
			selected = append(selected, m)
		}
	}
	return selected
}

// filterRelays returns the agents that are relays, which are the entries.
func filterRelays(agents []railmember.Member) []railmember.Member {
	return slices.DeleteFunc(slices.Clone(agents), func(m railmember.Member) bool { return !m.IsEntry() })
}
