package railcollector

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railtarget"
)

// fetch brings in the version that is to be fetched first, unless it is there.
func (c *Collector) fetch(ctx context.Context) error {
	model, wanted, err := c.target()
	if err != nil || c.there(model, wanted) {
		return err
	}
	w, err := c.find(ctx, model, wanted)
	if err != nil {
		return err
	}
	c.setFetching(w)
	began := time.Now()
	err = c.bring(ctx, w, wanted)
	if errors.Is(err, errSuperseded) {
		wake(c.changed)
		return nil
	}
	if err != nil {
		return err
	}
	c.Log.Info("weights fetched", "version", w.Version, "took", time.Since(began))
	return c.setComplete(ctx, w)
}

// target returns the model and the version that is to be fetched first; version 0 is the newest that the origin has.
func (c *Collector) target() (string, int64, error) {
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

// olderFirst reports whether a version that is not there whole is to be fetched before the one that was named after it.
func (c *Collector) olderFirst(older, newer railtarget.Version) bool {
	c.mu.Lock()
	w, known := c.known[older.Number]
	next := c.known[newer.Number]
	done := c.complete.Version >= older.Number
	c.mu.Unlock()
	if !known || done || c.Rate <= 0 {
		return false
	}
	whole := time.Duration(w.Manifest.Size) * time.Second / time.Duration(c.Rate)
	first := railtarget.Candidate{FetchTime: railtimer.Part(c.missing(w.Manifest), whole), DueIn: older.DueIn}
	second := railtarget.Candidate{FetchTime: whole, DueIn: newer.DueIn}
	if next.Version > 0 {
		second.FetchTime = railtimer.Part(c.missing(next.Manifest), whole)
	}
	return first.Before(second)
}

// missing returns the share of a manifest's chunks that are not there.
func (c *Collector) missing(m railmanifest.Manifest) float64 {
	return float64(len(m.Chunks)-c.held(m)) / float64(max(len(m.Chunks), 1))
}

// held returns the number of a manifest's chunks that are there.
func (c *Collector) held(m railmanifest.Manifest) int {
	n := 0
	for _, digest := range m.Chunks {
		if c.Store.Has(digest) {
			n++
		}
	}
	return n
}

func (c *Collector) there(model string, wanted int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.complete.Model == model && c.complete.Version > 0 && (wanted == 0 || c.complete.Version >= wanted)
}

// find returns a version with its manifest.
func (c *Collector) find(ctx context.Context, model string, wanted int64) (Weights, error) {
	c.mu.Lock()
	w, known := c.known[wanted]
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

// recover takes over what the engine has staged from before this process began, as soon as the engine answers; first is closed
// after the first attempt.
func (c *Collector) recover(ctx context.Context, w Weights, first chan<- struct{}) {
	for attempt := 0; !c.recovered.Load(); attempt++ {
		bounded, cancel := context.WithTimeout(ctx, ownLimit)
		err := c.RecoverStaged(bounded, w, func(digest string, data []byte) error { return c.Store.Put(bounded, digest, data) })
		cancel()
		if attempt == 0 {
			close(first)
		}
		if err == nil {
			c.recovered.Store(true)
			return
		}
		c.Log.Debug("engine's own pieces not read", "err", err)
		if !railtimer.Sleep(ctx, look) {
			return
		}
	}
}

// bring fetches the missing chunks, unless another version is to be fetched first before they are there. What the engine itself
// has staged goes first where it can be read at once.
func (c *Collector) bring(ctx context.Context, w Weights, wanted int64) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if c.RecoverStaged != nil && !c.recovered.Load() {
		first := make(chan struct{})
		go c.recover(ctx, w, first)
		select {
		case <-first:
		case <-time.After(ownFirst):
		}
	}
	go c.supersede(ctx, wanted, cancel)
	if err := c.Fetcher.Fetch(ctx, w.Manifest); err != nil {
		return errors.CombineErrors(context.Cause(ctx), err)
	}
	return nil
}

// supersede ends the fetching of a version once another is to be fetched first.
func (c *Collector) supersede(ctx context.Context, wanted int64, cancel context.CancelCauseFunc) {
	for railtimer.Sleep(ctx, look) {
		if _, now, err := c.target(); err == nil && now != wanted {
			c.Log.Info("fetching is put off", "version", wanted, "for", now)
			cancel(errSuperseded)
			return
		}
	}
}

func (c *Collector) setFetching(w Weights) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetching = w
	if c.known == nil {
		c.known = map[int64]Weights{}
	}
	c.known[w.Version] = w
	for version := range c.known {
		if version < w.Version-1 && version < c.complete.Version {
			delete(c.known, version)
		}
	}
}

// setComplete notes the newest complete version and drops the chunks of those before the last two.
func (c *Collector) setComplete(ctx context.Context, w Weights) error {
	c.mu.Lock()
	kept := append(append([]string(nil), w.Manifest.Chunks...), c.complete.Manifest.Chunks...)
	for version, other := range c.known {
		if version > w.Version {
			kept = append(kept, other.Manifest.Chunks...)
		}
	}
	c.complete = w
	c.mu.Unlock()
	wake(c.fetched)
	return c.Store.Keep(ctx, kept)
}
