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
	"github.com/fulmarrail/fulmarrail/internal/rollout/railplan"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// job is the fetching of one manifest.
type job struct {
	fetcher  *Fetcher
	manifest railmanifest.Manifest
	digest   string

	mu      sync.Mutex
	members []railmember.Member
	plans   map[string]railplan.Plan
	planned time.Time
}

// hunt is the search for one chunk.
type hunt struct {
	chunk  int
	digest string
	began  time.Time
	// failed is the number of importers that were found not to deliver.
	failed int
	// nextLook is the time of the next look after the importer.
	nextLook time.Time
}

func (j *job) work(ctx context.Context, group *errgroup.Group, chunks []int, workers int) {
	queue := make(chan int, len(chunks))
	for _, i := range chunks {
		queue <- i
	}
	close(queue)
	for range min(workers, len(chunks)) {
		group.Go(func() error {
			for i := range queue {
				if err := j.chunk(ctx, i); err != nil {
					return err
				}
			}
			return nil
		})
	}
}

// chunk tries sources in turn until the chunk is held; a corrupt answer is fetched elsewhere.
func (j *job) chunk(ctx context.Context, i int) error {
	f := j.fetcher
	h := &hunt{chunk: i, digest: j.manifest.Chunks[i], began: time.Now()}
	for ctx.Err() == nil {
		if f.Store.Has(h.digest) {
			return nil
		}
		data, err := j.attempt(ctx, h)
		if err == nil {
			err = f.Store.Put(ctx, h.digest, data)
		}
		if err != nil && !errors.Is(err, errNotYet) {
			f.Log.Debug("chunk not delivered", "chunk", i, "err", err)
			railtimer.Sleep(ctx, retryPause)
		}
	}
	return ctx.Err()
}

// attempt makes one step of a hunt: import when it is this agent's turn, look after the importer when this agent is
// next in turn, and else ask the nearest willing agent above in the chunk's tree.
func (j *job) attempt(ctx context.Context, h *hunt) ([]byte, error) {
	f := j.fetcher
	plan := j.plan(f.Self.Region)
	if plan.Empty() {
		return nil, errNoAgents
	}
	rank := plan.ImporterRank(h.chunk, f.Self.Name)
	if rank <= h.failed {
		return j.importChunk(ctx, plan, h)
	}
	if !time.Now().Before(h.firstLook(rank, f.takeover())) && !time.Now().Before(h.nextLook) {
		if data, err := j.lookAfterImporter(ctx, plan, h, rank); err == nil {
			return data, nil
		}
		h.nextLook = time.Now().Add(max(f.takeover(), time.Since(h.began)/4))
	}
	source, ok := j.source(plan, h)
	if !ok {
		return nil, errors.New("no agent to ask is willing")
	}
	return j.ask(ctx, source, h, j.waitFor(h, rank), plan.Level(h.chunk, f.Self.Name))
}

// firstLook returns the time at which an agent first looks after the importer, in the order of takeover.
func (h *hunt) firstLook(rank int, takeover time.Duration) time.Time {
	delay := time.Duration(rank-h.failed) * takeover
	if rank-h.failed > standbys {
		delay *= lateAgain
	}
	return h.began.Add(delay)
}

// waitFor returns the time for which a source is asked to wait: until this agent looks after the importer.
func (j *job) waitFor(h *hunt, rank int) time.Duration {
	takeover := j.fetcher.takeover()
	look := h.firstLook(rank, takeover)
	if look.Before(h.nextLook) {
		look = h.nextLook
	}
	return min(max(time.Until(look), takeover), longWait*takeover)
}

// source returns the nearest willing agent above in the tree, or else a willing importer.
func (j *job) source(plan railplan.Plan, h *hunt) (railmember.Member, bool) {
	f := j.fetcher
	if above := f.willing(plan.Sources(h.chunk, f.Self.Name)); len(above) > 0 {
		return above[0], true
	}
	importers := f.willing(slices.DeleteFunc(slices.Clone(plan.Importers(h.chunk)), f.isSelf))
	if len(importers) == 0 {
		return railmember.Member{}, false
	}
	return importers[0], true
}

// lookAfterImporter asks whether the importer whose turn it is holds the chunk or fails to import it, and notes when it
// does not deliver. A standby that has waited long takes the chunk from it directly.
func (j *job) lookAfterImporter(ctx context.Context, plan railplan.Plan, h *hunt, rank int) ([]byte, error) {
	f := j.fetcher
	importer := plan.Importers(h.chunk)[h.failed]
	reply, err := f.RequestChunk(ctx, importer, &railproto.ChunkRequest{Digest: h.digest, Probe: true})
	switch {
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case err != nil:
		f.penalize(importer)
		h.failed++
	case reply.GetHeld():
		if rank-h.failed > standbys || time.Duration(reply.GetHeldMillis())*time.Millisecond < directAfter*f.takeover() {
			return nil, errNotYet
		}
		data, err := j.ask(ctx, importer, h, 0, 0)
		if err != nil {
			h.failed++
		}
		return data, err
	case reply.GetImportFailures() >= failuresToTakeOver && rank-h.failed <= standbys:
		h.failed++
	}
	return nil, errNotYet
}

// importChunk brings a chunk into this agent's region: from the origin in the origin's region, from the origin's
// region elsewhere. Either way it first asks the region, which may hold the chunk already.
func (j *job) importChunk(ctx context.Context, plan railplan.Plan, h *hunt) ([]byte, error) {
	f := j.fetcher
	if data, err := j.fromRegion(ctx, plan, h); err == nil {
		return data, nil
	}
	data, err := j.fromOutside(ctx, h)
	if err != nil && !errors.Is(err, errNotYet) {
		f.Store.RecordImportFailure(h.digest)
	}
	return data, err
}

// fromOutside takes a chunk from the origin, or from the origin's region when that is another one.
func (j *job) fromOutside(ctx context.Context, h *hunt) ([]byte, error) {
	f := j.fetcher
	if region := f.OriginRegion(); region != f.Self.Region {
		if sources := j.plan(region); !sources.Empty() {
			importers := f.willing(sources.Importers(h.chunk))
			if len(importers) == 0 {
				return nil, errors.New("no agent of the origin's region is willing")
			}
			return j.ask(ctx, importers[0], h, longWait*f.takeover(), 0)
		}
	}
	data, err := f.FetchFromOrigin(ctx, h.digest)
	if err != nil {
		return nil, errors.Wrap(err, "draw from the origin")
	}
	return data, j.verify(h, data, railmember.Member{Name: "the origin"})
}

// fromRegion probes the region's agents until one holds the chunk, and takes it from there. Before anything has failed
// only the next importers are asked: after a change of the list the chunk's former importer is among them.
func (j *job) fromRegion(ctx context.Context, plan railplan.Plan, h *hunt) ([]byte, error) {
	f := j.fetcher
	others := plan.Importers(h.chunk)
	if h.failed == 0 {
		others = others[:min(firstProbes+1, len(others))]
	}
	for _, m := range f.willing(others) {
		if m.Name == f.Self.Name {
			continue
		}
		reply, err := f.RequestChunk(ctx, m, &railproto.ChunkRequest{Digest: h.digest, Probe: true})
		if err != nil {
			f.penalize(m)
			continue
		}
		if reply.GetHeld() {
			return j.ask(ctx, m, h, 0, 0)
		}
	}
	return nil, errNotYet
}

func (j *job) ask(ctx context.Context, source railmember.Member, h *hunt, wait time.Duration, level int) ([]byte, error) {
	f := j.fetcher
	reply, err := f.RequestChunk(ctx, source, &railproto.ChunkRequest{Digest: h.digest, WaitMillis: wait.Milliseconds(), Level: int32(level)})
	if err != nil {
		if ctx.Err() == nil {
			f.penalize(source)
		}
		return nil, errors.Wrapf(err, "ask %s", source.Name)
	}
	if len(reply.GetData()) == 0 {
		return nil, errNotYet
	}
	if err := j.verify(h, reply.GetData(), source); err != nil {
		return nil, err
	}
	f.delivered(source)
	return reply.GetData(), nil
}

func (j *job) verify(h *hunt, data []byte, source railmember.Member) error {
	if j.manifest.Verify(h.chunk, data) {
		return nil
	}
	j.fetcher.corrupt.Add(1)
	metrics.GetOrCreateCounter("fulmarrail_corrupt_chunks_total").Inc()
	j.fetcher.penalize(source)
	return errors.Newf("chunk %d from %s is corrupt", h.chunk, source.Name)
}

// plan returns the plan of a region for the list of agents as it was a moment ago.
func (j *job) plan(region string) railplan.Plan {
	f := j.fetcher
	j.mu.Lock()
	defer j.mu.Unlock()
	if time.Since(j.planned) > planFor {
		if members := f.Members(j.digest); !slices.Equal(members, j.members) {
			j.members, j.plans = members, map[string]railplan.Plan{}
		}
		j.planned = time.Now()
	}
	plan, ok := j.plans[region]
	if !ok {
		plan = railplan.New(j.inRegion(region), j.manifest.Chunks, j.otherRegions(region))
		if j.plans == nil {
			j.plans = map[string]railplan.Plan{}
		}
		j.plans[region] = plan
	}
	return plan
}

// otherRegions returns the number of regions that draw from the given one.
func (j *job) otherRegions(region string) int {
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

func (j *job) inRegion(region string) []railmember.Member {
	f := j.fetcher
	var local []railmember.Member
	for _, m := range j.members {
		if m.Region == region {
			local = append(local, m)
		}
	}
	if region == f.Self.Region && len(j.members) > 0 && !slices.ContainsFunc(local, f.isSelf) {
		local = append(local, f.Self) // A fresh VM is not in the lagging list yet.
	}
	return local
}

func (f *Fetcher) isSelf(m railmember.Member) bool {
	return m.Name == f.Self.Name
}
