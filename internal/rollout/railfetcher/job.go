package railfetcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railtree"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// job is the download of one manifest.
type job struct {
	fetcher  *Fetcher
	manifest railmanifest.Manifest
	digest   string

	mu            sync.Mutex
	members       []railmember.Member
	plans         map[string]railtree.Plan
	membersReadAt time.Time
}

// chunkFetch is the state of the download of one chunk.
type chunkFetch struct {
	chunk     int
	digest    string
	startTime time.Time
	// failedImporters is the number of importers, from the start of the import order, that have failed to deliver the chunk.
	failedImporters int
	// nextCheck is when the importer is checked again.
	nextCheck time.Time
}

// startWorkers adds workers to the group that fetch the given chunks, in order.
func (j *job) startWorkers(ctx context.Context, group *errgroup.Group, chunks []int, workers int) {
	queue := make(chan int, len(chunks))
	for _, i := range chunks {
		queue <- i
	}
	close(queue)
	for range min(workers, len(chunks)) {
		group.Go(func() error {
			for i := range queue {
				if err := j.fetchChunk(ctx, i); err != nil {
					return err
				}
			}
			return nil
		})
	}
}

// fetchChunk makes attempts until the chunk is held. A corrupt chunk is requested again from another source.
func (j *job) fetchChunk(ctx context.Context, i int) error {
	f := j.fetcher
	c := &chunkFetch{chunk: i, digest: j.manifest.Chunks[i], startTime: time.Now()}
	for ctx.Err() == nil {
		if f.Store.Has(c.digest) {
			return nil
		}
		data, err := j.attempt(ctx, c)
		if err == nil {
			err = f.Store.Put(ctx, c.digest, data)
		}
		if err != nil && !errors.Is(err, errNotHeld) {
			f.Log.Debug("chunk request failed", "chunk", i, "err", err)
			railtimer.Sleep(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

// attempt makes one attempt at a chunk. It imports the chunk when this agent is the current importer, checks the importer when
// a check is due, and otherwise requests the chunk from the nearest available agent above in the chunk's tree.
func (j *job) attempt(ctx context.Context, c *chunkFetch) ([]byte, error) {
	f := j.fetcher
	plan := j.regionPlan(f.Self.Region)
	if plan.Empty() {
		return nil, errNoAgents
	}
	rank := plan.ImporterRank(c.chunk, f.Self.Name)
	if rank <= c.failedImporters {
		return j.importChunk(ctx, plan, c)
	}
	if !time.Now().Before(c.firstCheck(rank, f.takeoverDelay())) && !time.Now().Before(c.nextCheck) {
		if data, err := j.checkImporter(ctx, plan, c, rank); err == nil {
			return data, nil
		}
		c.nextCheck = time.Now().Add(max(f.takeoverDelay(), time.Since(c.startTime)/4))
	}
	source, ok := j.selectSource(plan, c)
	if !ok {
		return nil, errors.New("no source is available")
	}
	return j.requestChunk(ctx, source, c, j.sourceWait(c, rank), plan.Level(c.chunk, f.Self.Name))
}

// firstCheck returns when an agent first checks the importer; agents later in the import order check later.
func (c *chunkFetch) firstCheck(rank int, takeoverDelay time.Duration) time.Time {
	delay := time.Duration(rank-c.failedImporters) * takeoverDelay
	if rank-c.failedImporters > maxStandbys {
		delay *= lateCheckFactor
	}
	return c.startTime.Add(delay)
}

// sourceWait returns how long a source is asked to wait for the chunk: until this agent's next check of the importer, but at least
// the takeover delay and at most maxWaitDelays times as long.
func (j *job) sourceWait(c *chunkFetch, rank int) time.Duration {
	takeoverDelay := j.fetcher.takeoverDelay()
	check := c.firstCheck(rank, takeoverDelay)
	if check.Before(c.nextCheck) {
		check = c.nextCheck
	}
	return min(max(time.Until(check), takeoverDelay), maxWaitDelays*takeoverDelay)
}

// selectSource returns the nearest available agent above in the tree, or else an available importer.
func (j *job) selectSource(plan railtree.Plan, c *chunkFetch) (railmember.Member, bool) {
	f := j.fetcher
	if ancestors := f.available(plan.Sources(c.chunk, f.Self.Name)); len(ancestors) > 0 {
		return ancestors[0], true
	}
	importers := f.available(slices.DeleteFunc(slices.Clone(plan.Importers(c.chunk)), f.isSelf))
	if len(importers) == 0 {
		return railmember.Member{}, false
	}
	return importers[0], true
}

// checkImporter probes the current importer, and counts it as failed when it does not respond or fails to import the chunk.
// When the importer has held the chunk for long, a standby requests it directly.
func (j *job) checkImporter(ctx context.Context, plan railtree.Plan, c *chunkFetch, rank int) ([]byte, error) {
	f := j.fetcher
	importer := plan.Importers(c.chunk)[c.failedImporters]
	reply, err := f.RequestChunk(ctx, importer, &railproto.ChunkRequest{Digest: c.digest, Probe: true})
	switch {
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case err != nil:
		f.backOff(importer)
		c.failedImporters++
	case reply.GetHeld():
		if rank-c.failedImporters > maxStandbys || time.Duration(reply.GetHeldMillis())*time.Millisecond < directRequestDelays*f.takeoverDelay() {
			return nil, errNotHeld
		}
		data, err := j.requestChunk(ctx, importer, c, 0, 0)
		if err != nil {
			c.failedImporters++
		}
		return data, err
	case reply.GetImportFailures() >= takeoverFailures && rank-c.failedImporters <= maxStandbys:
		c.failedImporters++
	}
	return nil, errNotHeld
}

// importChunk imports a chunk into this agent's region, from the origin within the origin's region and from the origin's
// region elsewhere. Either way it first probes this region's agents, which may hold the chunk already.
func (j *job) importChunk(ctx context.Context, plan railtree.Plan, c *chunkFetch) ([]byte, error) {
	f := j.fetcher
	if data, err := j.fetchFromRegion(ctx, plan, c); err == nil {
		return data, nil
	}
	data, err := j.fetchFromOutside(ctx, c)
	if err != nil && !errors.Is(err, errNotHeld) {
		f.Store.RecordImportFailure(c.digest)
	}
	return data, err
}

// fetchFromOutside fetches a chunk from the origin, or from the origin's region when that is another one and has agents.
func (j *job) fetchFromOutside(ctx context.Context, c *chunkFetch) ([]byte, error) {
	f := j.fetcher
	if region := f.OriginRegion(); region != f.Self.Region {
		if originPlan := j.regionPlan(region); !originPlan.Empty() {
			importers := f.available(originPlan.Importers(c.chunk))
			if len(importers) == 0 {
				return nil, errors.New("no agent of the origin's region is available")
			}
			return j.requestChunk(ctx, importers[0], c, maxWaitDelays*f.takeoverDelay(), 0)
		}
	}
	data, err := f.FetchFromOrigin(ctx, c.digest)
	if err != nil {
		return nil, errors.Wrap(err, "draw from the origin")
	}
	return data, j.verify(c, data, railmember.Member{Name: "the origin"})
}

// fetchFromRegion probes the region's agents until one holds the chunk, and requests it from that one. Before an importer has
// failed, only the next importers are probed: after a change of the list they include the chunk's former importer.
func (j *job) fetchFromRegion(ctx context.Context, plan railtree.Plan, c *chunkFetch) ([]byte, error) {
	f := j.fetcher
	others := plan.Importers(c.chunk)
	if c.failedImporters == 0 {
		others = others[:min(initialProbes+1, len(others))]
	}
	for _, m := range f.available(others) {
		if m.Name == f.Self.Name {
			continue
		}
		reply, err := f.RequestChunk(ctx, m, &railproto.ChunkRequest{Digest: c.digest, Probe: true})
		if err != nil {
			f.backOff(m)
			continue
		}
		if reply.GetHeld() {
			return j.requestChunk(ctx, m, c, 0, 0)
		}
	}
	return nil, errNotHeld
}

// requestChunk requests a chunk from an agent and verifies it.
func (j *job) requestChunk(ctx context.Context, source railmember.Member, c *chunkFetch, wait time.Duration, level int) ([]byte, error) {
	f := j.fetcher
	reply, err := f.RequestChunk(ctx, source, &railproto.ChunkRequest{Digest: c.digest, WaitMillis: wait.Milliseconds(), Level: int32(level)})
	if err != nil {
		if ctx.Err() == nil {
			f.backOff(source)
		}
		return nil, errors.Wrapf(err, "request chunk from %s", source.Name)
	}
	if len(reply.GetData()) == 0 {
		return nil, errNotHeld
	}
	if err := j.verify(c, reply.GetData(), source); err != nil {
		return nil, err
	}
	f.recordSuccess(source)
	return reply.GetData(), nil
}

// verify returns an error when a chunk does not match its digest, and backs off from its source.
func (j *job) verify(c *chunkFetch, data []byte, source railmember.Member) error {
	if j.manifest.Verify(c.chunk, data) {
		return nil
	}
	j.fetcher.corruptChunks.Add(1)
	metrics.GetOrCreateCounter("fulmarrail_corrupt_chunks_total").Inc()
	j.fetcher.backOff(source)
	return errors.Newf("chunk %d from %s is corrupt", c.chunk, source.Name)
}

// regionPlan returns the plan of a region, for a list of agents that is at most planTTL old.
func (j *job) regionPlan(region string) railtree.Plan {
	f := j.fetcher
	j.mu.Lock()
	defer j.mu.Unlock()
	if time.Since(j.membersReadAt) > planTTL {
		if members := f.Members(j.digest); !slices.Equal(members, j.members) {
			j.members, j.plans = members, map[string]railtree.Plan{}
		}
		j.membersReadAt = time.Now()
	}
	plan, ok := j.plans[region]
	if !ok {
		plan = railtree.New(j.regionMembers(region), j.manifest.Chunks, j.dependentRegions(region))
		if j.plans == nil {
			j.plans = map[string]railtree.Plan{}
		}
		j.plans[region] = plan
	}
	return plan
}

// dependentRegions returns the number of regions that import from the given one.
func (j *job) dependentRegions(region string) int {
	if region != j.fetcher.OriginRegion() {
		return 0
	}
	others := map[string]bool{}
	for _, m := range j.members {
		if m.Region != region {
			others[m.Region] = true
		}
	}
	return len(others)
}

// regionMembers returns the agents of a region. In this agent's own region it includes this agent once any are listed.
func (j *job) regionMembers(region string) []railmember.Member {
	f := j.fetcher
	var selected []railmember.Member
	for _, m := range j.members {
		if m.Region == region {
			selected = append(selected, m)
		}
	}
	if region == f.Self.Region && len(j.members) > 0 && !slices.ContainsFunc(selected, f.isSelf) {
		selected = append(selected, f.Self) // The list lags behind, so a new VM may not be in it yet.
	}
	return selected
}

func (f *Fetcher) isSelf(m railmember.Member) bool {
	return m.Name == f.Self.Name
}
