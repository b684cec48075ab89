package railloader

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/rollout/raildownloader"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raillayers"
)

// VerifyInherited finds out whether complete weights that an earlier process has loaded are intact: an entry may know it, or their pieces tell.
func (l *Loader) VerifyInherited(ctx context.Context, w raildownloader.Weights) error {
	if !l.inherited || l.last.Busy || l.last.Version == 0 {
		return nil
	}
	if known, err := l.askEntries(ctx); err != nil || known {
		return err
	}
	if l.last.Version != w.Version || l.Layers() <= 1 {
		return nil
	}
	l.inherited = false
	// The earlier process need not have ordered all of these layers: there are engines that load the whole model at its order for the first part.
	intact, err := l.auditLayers(ctx, w, l.allButLast())
	if intact {
		_, err = l.audit(ctx, w)
	}
	l.inherited = err != nil
	return err
}

// askEntries reports whether an entry knows that the engine's complete weights are proven. It returns an error if no entry could be asked: those that
// know it go on using the engine.
func (l *Loader) askEntries(ctx context.Context) (bool, error) {
	if l.Known == nil {
		return false, nil
	}
	version, answered := l.Known(ctx, l.Proof())
	switch {
	case version == l.last.Version:
		l.intact, l.intactSequence, l.inherited = l.last.Held, l.last.Sequence, false
		l.Log.Info("weights are proven by what an entry knows", "version", version, "start", l.last.StartMillis, "sequence", l.last.Sequence)
		l.publish()
		return true, nil
	case !answered:
		return false, errors.New("no entry has told what it knows of the engine's weights")
	}
	return false, nil
}

// audit reads the pieces of all layers that the engine holds and that are not known to be intact. It reports whether all pieces are intact,
// and records that the layers are. The pieces must not have been put since the engine has loaded them.
func (l *Loader) audit(ctx context.Context, w raildownloader.Weights) (bool, error) {
	return l.auditLayers(ctx, w, l.last.Held)
}

// auditLayers does the same for some of the layers that the engine holds.
func (l *Loader) auditLayers(ctx context.Context, w raildownloader.Weights, layers raillayers.Range) (bool, error) {
	before := *l.last
	if before.Sequence == l.unauditable && before.Sequence > 0 {
		return false, nil
	}
	unknown := layers
	if before.Sequence == l.intactSequence && l.intact.From == unknown.From && l.intact.End > unknown.From {
		unknown.From = min(l.intact.End, unknown.End)
	}
	first, end := l.pieces(w, unknown)
	if l.Stager.MayHealLater(w.Manifest, first, end) {
		return false, nil
	}
	corrupt, err := l.Stager.Audit(ctx, w.Model, w.Manifest, first, end)
	if err != nil {
		return false, err
	}
	state, err := l.State(ctx)
	switch {
	case err != nil:
		return false, err
	case state.StartMillis != before.StartMillis || state.Sequence != before.Sequence:
		return false, errors.New("engine has loaded other layers meanwhile")
	case corrupt > 0:
		return false, nil
	}
	l.intact, l.intactSequence = layers, before.Sequence
	l.Log.Info("loaded layers are intact by an audit", "version", w.Version, "layers", l.intact, "start", before.StartMillis, "sequence", before.Sequence)
	l.publish()
	return true, nil
}
