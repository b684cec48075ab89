package railswarm

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railpicker"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// look is the time after which a fetching is looked at again without any news.
	look = 20 * time.Millisecond
	// membersFor is the time for which the list of agents is used.
	membersFor = 500 * time.Millisecond
	// regionLevel is the level of requests in a region; those of other regions go first.
	regionLevel = 1
	drawLimit   = 1500 * time.Millisecond
	// drawAfter is the time without any chunk and without a word from another region after which the origin is asked from
	// outside its region too.
	drawAfter = 4 * time.Second
	// reportPause is the time between two lines about a fetching that takes long.
	reportPause = time.Second
	shortDigest = 12
	// askForever is longer than any request for a chunk.
	askForever = time.Hour
)

var (
	errCorrupt      = errors.New("the chunk is not what the manifest says")
	errNotHeld      = errors.New("the agent does not hold the chunk")
	errUnknownAgent = errors.New("the agent is not known any more")
)

// job is the fetching of one manifest.
type job struct {
	swarm    *Swarm
	manifest railmanifest.Manifest
	digest   string
	key      uint64
	wake     chan struct{}

	mu      sync.Mutex
	picker  railpicker.Picker
	talk    talk
	members []railmember.Member
	// ranks holds for each chunk this agent's place in the order in which the region's agents import it.
	ranks map[int]int
	// neighbours holds for each agent of the region whether it is a neighbour.
	neighbours map[string]bool
	// reported is when the log was last told how far the fetching is.
	reported time.Time
}

// start takes over what is here already.
func (j *job) start() {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	j.picker.StartTime, j.reported = now, now
	j.picker.ImportRank, j.picker.Relay = j.rank, j.swarm.Self.IsEntry()
	j.lookAtStore(now)
}

// lookAtStore takes over the chunks that are here, from wherever they came.
func (j *job) lookAtStore(now time.Time) {
	for i, digest := range j.manifest.Chunks {
		if !j.picker.Has(i) && j.swarm.Store.Has(digest) {
			j.picker.MarkHeld(i, now)
		}
	}
}

func (j *job) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	j.list()
	wg.Go(func() { j.follow(ctx) })
	timer := time.NewTimer(look)
	defer timer.Stop()
	for ctx.Err() == nil {
		picks, missing := j.next(time.Now())
		for _, p := range picks {
			wg.Go(func() { j.take(ctx, p) })
		}
		j.tell()
		if missing == 0 {
			return nil
		}
		timer.Reset(look)
		select {
		case <-ctx.Done():
		case <-j.wake:
		case <-timer.C:
		}
	}
	return ctx.Err()
}

// next returns what is to be asked for now, and the number of chunks that are missing.
func (j *job) next(now time.Time) (picks []railpicker.Pick, missing int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lookAtStore(now)
	j.report(now)
	j.picker.FromOrigin = j.draws(now)
	for j.swarm.ready(now) {
		p, ok := j.picker.Next(now)
		if !ok {
			break
		}
		if p.From != railpicker.Origin {
			j.swarm.took(now, int(j.manifest.ChunkSize))
		}
		picks = append(picks, p)
	}
	return picks, j.picker.Missing()
}

// draws reports whether this agent imports from the origin: when its region is the origin's, or when nothing has come and no
// other region has been heard for long.
func (j *job) draws(now time.Time) bool {
	return j.chain()[0] == j.swarm.Self.Region || !j.picker.HearsOtherRegions(now) && now.Sub(j.picker.LastProgress()) > drawAfter
}

// report logs from time to time how far a fetching is that takes long.
func (j *job) report(now time.Time) {
	if now.Sub(j.reported) < reportPause {
		return
	}
	j.reported = now
	j.swarm.Log.Info("weights are on their way", "manifest", j.digest[:shortDigest], "chunks", j.picker.Chunks, "missing", j.picker.Missing(),
		"draws", j.picker.FromOrigin, "agents", len(j.members), "heard", j.picker.HeardRegionPeers(), "after", now.Sub(j.picker.StartTime))
}

// take takes a chunk from where it was picked.
func (j *job) take(ctx context.Context, p railpicker.Pick) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if j.swarm.Store.Wait(ctx, j.manifest.Chunks[p.Chunk], askForever) {
			cancel() // It came from elsewhere.
		}
	}()
	err := j.ask(ctx, p)
	outcome := railpicker.Received
	switch {
	case errors.Is(err, errCorrupt):
		outcome = railpicker.Corrupt
	case err != nil:
		outcome = railpicker.Failed
	}
	if err != nil && ctx.Err() == nil {
		j.swarm.Log.Debug("chunk not delivered", "chunk", p.Chunk, "from", p.From, "err", err)
	}
	j.mu.Lock()
	imported := j.picker.Finish(p, outcome, time.Now())
	j.mu.Unlock()
	if imported {
		j.passOn(p.Chunk)
	}
	j.signal()
}

func (j *job) ask(ctx context.Context, p railpicker.Pick) error {
	s := j.swarm
	digest := j.manifest.Chunks[p.Chunk]
	if p.From == railpicker.Origin {
		ctx, cancel := context.WithTimeout(ctx, drawLimit)
		defer cancel()
		data, err := s.FetchFromOrigin(ctx, digest)
		if err != nil {
			return errors.Wrap(err, "draw from the origin")
		}
		s.took(time.Now(), len(data)) // What did not come takes up nothing of the link.
		return s.accept(ctx, j.manifest, p.Chunk, data, "the origin")
	}
	m, ok := j.member(p.From)
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
	return s.accept(ctx, j.manifest, p.Chunk, reply.GetData(), p.From)
}

// follow keeps the list of agents until ctx is done.
func (j *job) follow(ctx context.Context) {
	for railtimer.Sleep(ctx, membersFor) {
		j.list()
	}
}

func (j *job) list() {
	members := j.swarm.Members()
	j.mu.Lock()
	defer j.mu.Unlock()
	if !slices.Equal(members, j.members) {
		j.members, j.ranks = members, map[int]int{}
		region := inRegion(members, j.swarm.Self.Region)
		j.picker.RegionPeers, j.picker.RegionRelays = len(region)-1, len(relays(region))
		j.neighbours = j.neighbourhood()
	}
}

// rank returns this agent's place in the order in which the region's agents import a chunk.
func (j *job) rank(chunk int) int {
	rank, ok := j.ranks[chunk]
	if !ok {
		order := j.order(chunk, j.swarm.Self.Region)
		rank = slices.IndexFunc(order, func(m railmember.Member) bool { return m.Name == j.swarm.Self.Name })
		j.ranks[chunk] = rank
	}
	return rank
}

// order returns a region's agents in the order in which they import a chunk.
func (j *job) order(chunk int, region string) []railmember.Member {
	order := byName.Top(j.manifest.Chunks[chunk], inRegion(j.members, region), len(j.members))
	slices.SortStableFunc(order, railmember.EntriesFirst)
	return order
}

// chain returns the regions in the order in which each imports from the one before: that of the origin first, if any agent is
// there. That spares the links of the first region's agents.
func (j *job) chain() []string {
	regions := []string{j.swarm.Self.Region}
	for _, m := range j.members {
		regions = append(regions, m.Region)
	}
	slices.Sort(regions)
	regions = slices.Compact(regions)
	origin := j.swarm.OriginRegion()
	if at := slices.Index(regions, origin); at > 0 {
		regions = slices.Insert(slices.Delete(regions, at, at+1), 0, origin)
	}
	return regions
}

func (j *job) member(name string) (railmember.Member, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	m, ok := j.talk.heard[name]
	return m, ok
}

func (j *job) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

func inRegion(agents []railmember.Member, region string) []railmember.Member {
	var list []railmember.Member
	for _, m := range agents {
		if m.Region == region {
			list = append(list, m)
		}
	}
	return list
}

// relays returns the agents that are relays.
func relays(agents []railmember.Member) []railmember.Member {
	return slices.DeleteFunc(slices.Clone(agents), func(m railmember.Member) bool { return !m.IsEntry() })
}
