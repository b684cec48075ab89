package raildownloader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfetchorder"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
)

// fetch fetches the version that nextVersion returns, unless it is complete.
func (c *Collector) fetch(ctx context.Context) error {
	model, wanted, err := c.nextVersion()
	if err != nil || c.isComplete(model, wanted) {
		return err
	}
	w, err := c.resolve(ctx, model, wanted)
	if err != nil {
		return err
	}
	c.setFetching(w)
	began := time.Now()
	err = c.fetchMissing(ctx, w, wanted)
	if errors.Is(err, errSuperseded) {
		notify(c.wantedChanged)
		return nil
	}
	if err != nil {
		return err
	}
	c.Log.Info("weights fetched", "version", w.Version, "took", time.Since(began))
	return c.setComplete(ctx, w)
}

// nextVersion returns the model and the version to fetch first; version 0 is the newest that the origin has.
func (c *Collector) nextVersion() (string, int64, error) {
	model, versions := c.Wanted()
	switch {
	case model == "":
		return "", 0, errNoModel
	case len(versions) == 0:
		return model, 0, nil
	}
	newest := versions[len(versions)-1]
	if len(versions) > 1 && c.olderFirst(versions[len(versions)-2], newest) {
		return model, versions[len(versions)-2].Number, nil
	}
	return model, newest.Number, nil
}

// olderFirst reports whether an incomplete version should be fetched before its successor.
func (c *Collector) olderFirst(older, newer railfetchorder.Version) bool {
	c.mu.Lock()
	olderWeights, known := c.knownVersions[older.Number]
	newerWeights := c.knownVersions[newer.Number]
	olderComplete := c.latestComplete.Version >= older.Number
	c.mu.Unlock()
	if !known || olderComplete || c.Rate <= 0 {
		return false
	}
	fullFetchTime := time.Duration(olderWeights.Manifest.Size) * time.Second / time.Duration(c.Rate)
	olderCandidate := railfetchorder.Candidate{FetchTime: railtimer.Scale(c.missingFraction(olderWeights.Manifest), fullFetchTime), DueIn: older.DueIn}
	newerCandidate := railfetchorder.Candidate{FetchTime: fullFetchTime, DueIn: newer.DueIn}
	if newerWeights.Version > 0 {
		newerCandidate.FetchTime = railtimer.Scale(c.missingFraction(newerWeights.Manifest), fullFetchTime)
	}
	return olderCandidate.Before(newerCandidate)
}

// missingFraction returns the fraction, from 0 to 1, of a manifest's chunks that are not in the store.
func (c *Collector) missingFraction(m railmanifest.Manifest) float64 {
	return float64(len(m.Chunks)-c.countHeld(m)) / float64(max(len(m.Chunks), 1))
}

// countHeld returns the number of a manifest's chunks that are in the store.
func (c *Collector) countHeld(m railmanifest.Manifest) int {
	n := 0
	for _, digest := range m.Chunks {
		if c.Store.Has(digest) {
			n++
		}
	}
	return n
}

// isComplete reports whether the wanted version of a model, or a later one, is complete; wanted 0 means any version.
func (c *Collector) isComplete(model string, wanted int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latestComplete.Model == model && c.latestComplete.Version > 0 && (wanted == 0 || c.latestComplete.Version >= wanted)
}

// resolve returns a version with its manifest, and reads the manifest if it is not known yet.
func (c *Collector) resolve(ctx context.Context, model string, wanted int64) (Weights, error) {
	c.mu.Lock()
	w, known := c.knownVersions[wanted]
	c.mu.Unlock()
	if known && w.Model == model {
		return w, nil
	}
	m, version, err := c.Manifest(ctx, model, wanted)
	if err != nil {
		return Weights{}, errors.Wrap(err, "read the manifest")
	}
	return Weights{Model: model, Version: version, Manifest: m}, nil
}

// recoverFromEngine copies the chunks that were staged at the engine before this process started into the store. It retries
// until the engine responds or ctx is done, and closes attempted after the first attempt.
func (c *Collector) recoverFromEngine(ctx context.Context, w Weights, attempted chan<- struct{}) {
	for attempt := 0; !c.recovered.Load(); attempt++ {
		attemptCtx, cancel := context.WithTimeout(ctx, recoverTimeout)
		err := c.RecoverStaged(attemptCtx, w, func(digest string, data []byte) error { return c.Store.Put(attemptCtx, digest, data) })
		cancel()
		if attempt == 0 {
			close(attempted)
		}
		if err == nil {
			c.recovered.Store(true)
			return
		}
		c.Log.Debug("cannot recover the chunks staged at the engine; retrying", "err", err)
		if !railtimer.Sleep(ctx, pollInterval) {
			return
		}
	}
}

// fetchMissing fetches the chunks that are missing from the store, or returns errSuperseded once another version must be fetched
// first. Chunks staged at the local engine are used first if they can be read within recoverHeadStart.
func (c *Collector) fetchMissing(ctx context.Context, w Weights, wanted int64) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if c.RecoverStaged != nil && !c.recovered.Load() {
		attempted := make(chan struct{})
		go c.recoverFromEngine(ctx, w, attempted)
		select {
		case <-attempted:
		case <-time.After(recoverHeadStart):
		}
	}
	go c.cancelWhenSuperseded(ctx, wanted, cancel)
	if err := c.Fetcher.Fetch(ctx, w.Manifest); err != nil {
		return errors.CombineErrors(context.Cause(ctx), err)
	}
	return nil
}

// cancelWhenSuperseded cancels the fetch of a version once another one must be fetched first.
func (c *Collector) cancelWhenSuperseded(ctx context.Context, wanted int64, cancel context.CancelCauseFunc) {
	for railtimer.Sleep(ctx, pollInterval) {
		if _, next, err := c.nextVersion(); err == nil && next != wanted {
			c.Log.Info("fetching is put off", "version", wanted, "for", next)
			cancel(errSuperseded)
			return
		}
	}
}

func (c *Collector) setFetching(w Weights) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetching = w
	if c.knownVersions == nil {
		c.knownVersions = map[int64]Weights{}
	}
	c.knownVersions[w.Version] = w
	for version := range c.knownVersions {
		if version < w.Version-1 && version < c.latestComplete.Version {
			delete(c.knownVersions, version)
		}
	}
}

// setComplete records w as the latest complete version. It drops all chunks but those of w, of the complete version before it and of
// newer versions whose manifests are known.
func (c *Collector) setComplete(ctx context.Context, w Weights) error {
	c.mu.Lock()
	keepDigests := append(append([]string(nil), w.Manifest.Chunks...), c.latestComplete.Manifest.Chunks...)
	for version, other := range c.knownVersions {
		if version > w.Version {
			keepDigests = append(keepDigests, other.Manifest.Chunks...)
		}
	}
	c.latestComplete = w
	c.mu.Unlock()
	notify(c.fetched)
	return c.Store.Keep(ctx, keepDigests)
}
