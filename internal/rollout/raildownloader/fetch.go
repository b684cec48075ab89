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
func (d *Downloader) fetch(ctx context.Context) error {
	model, wanted, err := d.nextVersion()
	if err != nil || d.isComplete(model, wanted) {
		return err
	}
	w, err := d.resolve(ctx, model, wanted)
	if err != nil {
		return err
	}
	d.setFetching(w)
	began := time.Now()
	err = d.fetchMissing(ctx, w, wanted)
	if errors.Is(err, errSuperseded) {
		notify(d.wantedChanged)
		return nil
	}
	if err != nil {
		return err
	}
	d.Log.Info("weights fetched", "version", w.Version, "took", time.Since(began))
	return d.setComplete(ctx, w)
}

// nextVersion returns the model and the version to fetch first; version 0 is the newest that the origin has.
func (d *Downloader) nextVersion() (string, int64, error) {
	model, versions := d.Wanted()
	switch {
	case model == "":
		return "", 0, errNoModel
	case len(versions) == 0:
		return model, 0, nil
	}
	newest := versions[len(versions)-1]
	if len(versions) > 1 && d.olderFirst(versions[len(versions)-2], newest) {
		return model, versions[len(versions)-2].Number, nil
	}
	return model, newest.Number, nil
}

// olderFirst reports whether an incomplete version should be fetched before its successor.
func (d *Downloader) olderFirst(older, newer railfetchorder.Version) bool {
	d.mu.Lock()
	olderWeights, known := d.knownVersions[older.Number]
	newerWeights := d.knownVersions[newer.Number]
	olderComplete := d.latestComplete.Version >= older.Number
	d.mu.Unlock()
	if !known || olderComplete || d.Rate <= 0 {
		return false
	}
	fullFetchTime := time.Duration(olderWeights.Manifest.Size) * time.Second / time.Duration(d.Rate)
	olderCandidate := railfetchorder.Candidate{FetchTime: railtimer.Scale(d.missingFraction(olderWeights.Manifest), fullFetchTime), DueIn: older.DueIn}
	newerCandidate := railfetchorder.Candidate{FetchTime: fullFetchTime, DueIn: newer.DueIn}
	if newerWeights.Version > 0 {
		newerCandidate.FetchTime = railtimer.Scale(d.missingFraction(newerWeights.Manifest), fullFetchTime)
	}
	return olderCandidate.Before(newerCandidate)
}

// missingFraction returns the fraction, from 0 to 1, of a manifest's chunks that are not in the store.
func (d *Downloader) missingFraction(m railmanifest.Manifest) float64 {
	return float64(len(m.Chunks)-d.countHeld(m)) / float64(max(len(m.Chunks), 1))
}

// countHeld returns the number of a manifest's chunks that are in the store.
func (d *Downloader) countHeld(m railmanifest.Manifest) int {
	n := 0
	for _, digest := range m.Chunks {
		if d.Store.Has(digest) {
			n++
		}
	}
	return n
}

// isComplete reports whether the wanted version of a model, or a later one, is complete; wanted 0 means any version.
func (d *Downloader) isComplete(model string, wanted int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latestComplete.Model == model && d.latestComplete.Version > 0 && (wanted == 0 || d.latestComplete.Version >= wanted)
}

// resolve returns a version with its manifest, and reads the manifest if it is not known yet.
func (d *Downloader) resolve(ctx context.Context, model string, wanted int64) (Weights, error) {
	d.mu.Lock()
	w, known := d.knownVersions[wanted]
	d.mu.Unlock()
	if known && w.Model == model {
		return w, nil
	}
	m, version, err := d.Manifest(ctx, model, wanted)
	if err != nil {
		return Weights{}, errors.Wrap(err, "read the manifest")
	}
	return Weights{Model: model, Version: version, Manifest: m}, nil
}

// recoverFromEngine copies the chunks that were staged at the engine before this process started into the store. It retries
// until the engine responds or ctx is done, and closes attempted after the first attempt.
func (d *Downloader) recoverFromEngine(ctx context.Context, w Weights, attempted chan<- struct{}) {
	for attempt := 0; !d.recovered.Load(); attempt++ {
		attemptCtx, cancel := context.WithTimeout(ctx, recoverTimeout)
		err := d.RecoverStaged(attemptCtx, w, func(digest string, data []byte) error { return d.Store.Put(attemptCtx, digest, data) })
		cancel()
		if attempt == 0 {
			close(attempted)
		}
		if err == nil {
			d.recovered.Store(true)
			return
		}
		d.Log.Debug("cannot recover the chunks staged at the engine; retrying", "err", err)
		if !railtimer.Sleep(ctx, pollInterval) {
			return
		}
	}
}

// fetchMissing fetches the chunks that are missing from the store, or returns errSuperseded once another version must be fetched
// first. Chunks staged at the local engine are used first if they can be read within recoverHeadStart.
func (d *Downloader) fetchMissing(ctx context.Context, w Weights, wanted int64) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if d.RecoverStaged != nil && !d.recovered.Load() {
		attempted := make(chan struct{})
		go d.recoverFromEngine(ctx, w, attempted)
		select {
		case <-attempted:
		case <-time.After(recoverHeadStart):
		}
	}
	go d.cancelWhenSuperseded(ctx, wanted, cancel)
	if err := d.Fetcher.Fetch(ctx, w.Manifest); err != nil {
		return errors.CombineErrors(context.Cause(ctx), err)
	}
	return nil
}

// cancelWhenSuperseded cancels the fetch of a version once another one must be fetched first.
func (d *Downloader) cancelWhenSuperseded(ctx context.Context, wanted int64, cancel context.CancelCauseFunc) {
	for railtimer.Sleep(ctx, pollInterval) {
		if _, next, err := d.nextVersion(); err == nil && next != wanted {
			d.Log.Info("fetching is put off", "version", wanted, "for", next)
			cancel(errSuperseded)
			return
		}
	}
}

func (d *Downloader) setFetching(w Weights) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fetching = w
	if d.knownVersions == nil {
		d.knownVersions = map[int64]Weights{}
	}
	d.knownVersions[w.Version] = w
	for version := range d.knownVersions {
		if version < w.Version-1 && version < d.latestComplete.Version {
			delete(d.knownVersions, version)
		}
	}
}

// setComplete records w as the latest complete version. It drops all chunks but those of w, of the complete version before it and of
// newer versions whose manifests are known.
func (d *Downloader) setComplete(ctx context.Context, w Weights) error {
	d.mu.Lock()
	keepDigests := append(append([]string(nil), w.Manifest.Chunks...), d.latestComplete.Manifest.Chunks...)
	for version, other := range d.knownVersions {
		if version > w.Version {
			keepDigests = append(keepDigests, other.Manifest.Chunks...)
		}
	}
	d.latestComplete = w
	d.mu.Unlock()
	notify(d.fetched)
	return d.Store.Keep(ctx, keepDigests)
}
