package railloader

import (
	"context"

	"github.com/fulmarrail/fulmarrail/internal/rollout/raildownloader"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raillayers"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railstager"
)

// stage puts the pieces that are missing or differ.
func (l *Loader) stage(ctx context.Context, w raildownloader.Weights) error {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	putCount, err := l.Stager.Stage(ctx, w.Model, w.Manifest)
	l.Log.Info("pieces staged", "version", w.Version, "put", putCount, "err", err)
	return err
}

// refresh verifies the pieces of the given layers again, if the time for it suffices, and stages those that have become corrupt.
func (l *Loader) refresh(ctx context.Context, w raildownloader.Weights, layers raillayers.Range) error {
	first, end := l.pieces(w, layers)
	if l.Stager.Age(w.Manifest, first, end) <= maxOrderAge {
		return nil
	}
	refreshCtx, cancel := context.WithTimeout(ctx, maxOrderAge)
	defer cancel()
	putCount, err := l.Stager.Refresh(refreshCtx, w.Model, w.Manifest, first, end)
	age := l.Stager.Age(w.Manifest, first, end)
	l.Log.Info("pieces verified again", "version", w.Version, "put", putCount, "age", age, "err", err)
	if age < railstager.Unverified {
		return nil
	}
	return l.stage(ctx, w)
}

// split returns those of the given layers that the engine keeps, and those that it has to load.
func (l *Loader) split(w raildownloader.Weights, layers raillayers.Range) (kept, missing raillayers.Range) {
	held := l.last.Held
	if l.last.HeldVersion != w.Version || held.From != layers.From || held.End <= held.From {
		return raillayers.Range{}, layers
	}
	end := min(held.End, layers.End)
	return raillayers.Range{From: held.From, End: end}, raillayers.Range{From: end, End: layers.End}
}

// pieces returns the half-open range of the pieces that the given layers need.
func (l *Loader) pieces(w raildownloader.Weights, layers raillayers.Range) (first, end int) {
	if l.Layers() <= 0 {
		return 0, len(w.Manifest.Chunks)
	}
	return layers.Pieces(l.Layers(), len(w.Manifest.Chunks))
}

func (l *Loader) allLayers() raillayers.Range {
	return raillayers.Range{End: l.Layers()}
}

func (l *Loader) allButLast() raillayers.Range {
	return raillayers.Range{End: l.Layers() - 1}
}

func (l *Loader) lastLayer() raillayers.Range {
	return raillayers.Range{From: l.Layers() - 1, End: l.Layers()}
}
