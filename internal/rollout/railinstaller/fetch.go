package railinstaller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railtarget"
)

// fetch brings in the version that is to be fetched first, unless it is there.
func (n *Installer) fetch(ctx context.Context) error {
	model, wanted, err := n.target()
	if err != nil || n.there(model, wanted) {
		return err
	}
	w, err := n.find(ctx, model, wanted)
	if err != nil {
		return err
	}
	n.setFetching(w)
	began := time.Now()
	err = n.bring(ctx, w, wanted)
	if errors.Is(err, errSuperseded) {
		wake(n.changed)
		return nil
	}
	if err != nil {
		return err
	}
	n.Log.Info("weights fetched", "version", w.version, "took", time.Since(began))
	return n.setComplete(ctx, w)
}

// target returns the model and the version that is to be fetched first; version 0 is the newest that the origin has.
func (n *Installer) target() (string, int64, error) {
	model, versions := n.Wanted()
	switch {
	case model == "":
		return "", 0, errNoModel
	case len(versions) == 0:
		return model, 0, nil
	}
	newest := versions[len(versions)-1]
	if len(versions) > 1 && n.olderFirst(versions[len(versions)-2], newest) {
		return model, versions[len(versions)-2].Number, nil
	}
	return model, newest.Number, nil
}

// olderFirst reports whether a version that is not there whole is to be fetched before the one that was named after it.
func (n *Installer) olderFirst(older, newer Version) bool {
	n.mu.Lock()
	w, known := n.known[older.Number]
	next := n.known[newer.Number]
	done := n.complete.version >= older.Number
	n.mu.Unlock()
	if !known || done || n.Rate <= 0 {
		return false
	}
	whole := time.Duration(w.manifest.Size) * time.Second / time.Duration(n.Rate)
	first := railtarget.Target{Fetch: part(n.missing(w.manifest), whole), Due: older.Due}
	second := railtarget.Target{Fetch: whole, Due: newer.Due}
	if next.version > 0 {
		second.Fetch = part(n.missing(next.manifest), whole)
	}
	return first.Before(second)
}

func part(share float64, of time.Duration) time.Duration {
	return time.Duration(share * float64(of))
}

// missing returns the share of a manifest's chunks that are not there.
func (n *Installer) missing(m railmanifest.Manifest) float64 {
	count := 0
	for _, digest := range m.Chunks {
		if !n.Store.Has(digest) {
			count++
		}
	}
	return float64(count) / float64(max(len(m.Chunks), 1))
}

func (n *Installer) there(model string, wanted int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.complete.model == model && n.complete.version > 0 && (wanted == 0 || n.complete.version >= wanted)
}

// find returns a version with its manifest.
func (n *Installer) find(ctx context.Context, model string, wanted int64) (weights, error) {
	n.mu.Lock()
	w, known := n.known[wanted]
	n.mu.Unlock()
	if known && w.model == model {
		return w, nil
	}
	m, version, err := n.Manifest(ctx, model, wanted)
	if err != nil {
		return weights{}, errors.Wrap(err, "read the manifest")
	}
	return weights{model: model, version: version, manifest: m}, nil
}

// recover takes over what the engine has staged from before this process began, as soon as the engine answers; first is closed
// after the first attempt.
func (n *Installer) recover(ctx context.Context, w weights, first chan<- struct{}) {
	for attempt := 0; !n.recovered.Load(); attempt++ {
		bounded, cancel := context.WithTimeout(ctx, stageLimit)
		err := n.Stage.Recover(bounded, w.model, w.manifest, func(digest string, data []byte) error { return n.Store.Put(bounded, digest, data) })
		cancel()
		if attempt == 0 {
			close(first)
		}
		if err == nil {
			n.recovered.Store(true)
			return
		}
		n.Log.Debug("engine's own pieces not read", "err", err)
		if !railtimer.Sleep(ctx, look) {
			return
		}
	}
}

// bring fetches the missing chunks, unless another version is to be fetched first before they are there. What the engine itself
// has staged goes first where it can be read at once.
func (n *Installer) bring(ctx context.Context, w weights, wanted int64) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !n.recovered.Load() {
		first := make(chan struct{})
		go n.recover(ctx, w, first)
		select {
		case <-first:
		case <-time.After(ownFirst):
		}
	}
	go n.supersede(ctx, wanted, cancel)
	if err := n.Fetcher.Fetch(ctx, w.manifest); err != nil {
		return errors.CombineErrors(context.Cause(ctx), err)
	}
	return nil
}

// supersede ends the fetching of a version once another is to be fetched first.
func (n *Installer) supersede(ctx context.Context, wanted int64, cancel context.CancelCauseFunc) {
	for railtimer.Sleep(ctx, look) {
		if _, now, err := n.target(); err == nil && now != wanted {
			n.Log.Info("fetching is put off", "version", wanted, "for", now)
			cancel(errSuperseded)
			return
		}
	}
}

func (n *Installer) setFetching(w weights) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fetching = w
	if n.known == nil {
		n.known = map[int64]weights{}
	}
	n.known[w.version] = w
	for version := range n.known {
		if version < w.version-1 && version < n.complete.version {
			delete(n.known, version)
		}
	}
}

// setComplete notes the newest complete version and drops the chunks of those before the last two.
func (n *Installer) setComplete(ctx context.Context, w weights) error {
	n.mu.Lock()
	kept := append(append([]string(nil), w.manifest.Chunks...), n.complete.manifest.Chunks...)
	for version, other := range n.known {
		if version > w.version {
			kept = append(kept, other.manifest.Chunks...)
		}
	}
	n.complete = w
	n.mu.Unlock()
	wake(n.fetched)
	return n.Store.Keep(ctx, kept)
}
