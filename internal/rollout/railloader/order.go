package railloader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railproof"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raildownloader"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raillayers"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railloadorder"
)

// pendingOrder is an order to hold layers of weights, sent when the engine had accepted the number sequence of orders.
type pendingOrder struct {
	weights  raildownloader.Weights
	layers   raillayers.Range
	sequence int64
}

// awaitFence waits until no entry uses the version because of an earlier load on this start of the engine: requests name the version that they are
// for, but can't tell two loads of it apart.
func (l *Loader) awaitFence(ctx context.Context) {
	if l.Fence == nil {
		return
	}
	if l.fence == (railproof.Proof{}) || l.fence.StartMillis != l.last.StartMillis {
		l.fence = l.Proof()
	}
	l.Fence(ctx, l.fence)
}

// settle returns once no order is pending of which it is not known whether the engine has accepted it, or will. No piece may be put before that: an
// audit after the load would look at other pieces than the engine has loaded. So the order is repeated until the engine has accepted one of the two.
// If it is for other weights than w whose pieces can't be staged any more, an order that leaves the engine without complete weights takes its place.
func (l *Loader) settle(ctx context.Context, w raildownloader.Weights) error {
	state, err := l.State(ctx)
	switch {
	case err != nil:
		return err
	case state.Busy:
		return errBusy
	case l.pending == nil:
		return nil
	}
	p := *l.pending
	if p.weights.Version != w.Version {
		if err := l.stage(ctx, p.weights); err != nil && l.Layers() > 1 {
			p.layers = l.lastLayer()
		}
	}
	return l.order(ctx, p.weights, p.layers)
}

// order orders the engine to hold the given layers and waits until it does. It records the layers as intact if those that the engine has
// kept were, and the pieces of the others were verified shortly before its answer.
func (l *Loader) order(ctx context.Context, w raildownloader.Weights, layers raillayers.Range) error {
	kept, missing := l.split(w, layers)
	keptIntact := l.intactSequence == l.last.Sequence && l.intact.Contains(kept)
	sequence, serving := l.last.Sequence, l.last.Version
	began := time.Now()
	if err := l.send(ctx, w, layers); err != nil {
		l.Log.Warn("order was not accepted, or its answer was lost", "version", w.Version, "layers", layers, "sequence", sequence, "unknown", l.pending != nil, "after", time.Since(began), "err", err)
		return err
	}
	first, end := l.pieces(w, missing)
	age := l.Stager.Age(w.Manifest, first, end)
	l.intactSequence, l.accepted, l.pending = sequence+1, sequence+1, nil
	switch {
	case keptIntact && age <= maxLoadAge && !l.Stager.MayDifferLater(w.Manifest, first, end):
		l.intact = layers
	case keptIntact:
		l.intact = kept
	default:
		l.intact = raillayers.Range{}
	}
	l.Log.Info("load ordered", "version", w.Version, "layers", layers, "serving", serving, "start", l.last.StartMillis, "sequence", l.intactSequence, "answered", time.Since(began), "age", age, "intact", l.intact)
	return l.awaitLoad(ctx, w, layers)
}

// send sends an order, and records it as pending if it is not known whether the engine accepts it.
func (l *Loader) send(ctx context.Context, w raildownloader.Weights, layers raillayers.Range) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o := railloadorder.Order{Model: w.Model, Version: w.Version, Layers: layers, Sequence: l.last.Sequence}
	if layers == l.allLayers() {
		o.Layers = raillayers.Range{}
	}
	err := l.Engine.StartLoad(ctx, o)
	switch {
	case errors.Is(err, railloadorder.ErrRejected):
		l.pending = nil // One of two with the same number is not accepted either, or is seen to be.
	case err != nil:
		l.pending = &pendingOrder{weights: w, layers: layers, sequence: o.Sequence}
	}
	return errors.Wrap(err, "order the engine to load")
}

// awaitLoad waits until the engine holds layers of a version. It returns an error if the engine is not busy and doesn't hold them, if its
// state can't be read, or after loadTimeout.
func (l *Loader) awaitLoad(ctx context.Context, w raildownloader.Weights, layers raillayers.Range) error {
	began := time.Now()
	for time.Since(began) < loadTimeout && railtimer.Sleep(ctx, loadPollInterval) {
		state, err := l.State(ctx)
		switch {
		case err != nil:
			return err
		case state.Holds(w.Version, layers):
			return nil
		case !state.Busy:
			return errors.New("engine did not load the ordered version")
		}
	}
	return errors.Newf("load did not finish within %s", loadTimeout)
}
