package railloader

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/membership/railproof"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raildownloader"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railenginestate"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raillayers"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railloadorder"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railstager"
)

const (
	// maxOrderAge is the age of a piece's verification up to which it is not verified again before an order. maxLoadAge is its maximum age
	// when the engine's answer to the order arrives: the platform tolerates pieces that have been corrupt for up to 3 s.
	maxOrderAge = 1500 * time.Millisecond
	maxLoadAge  = 2500 * time.Millisecond
	callTimeout = time.Second
	// stageTimeout bounds one attempt to stage the pieces; the next one goes on where it has ended.
	stageTimeout = 5 * time.Second
	// loadPollInterval is the time between reads of the engine's state during a load.
	loadPollInterval = 25 * time.Millisecond
	// loadTimeout bounds the wait for an ordered load, including the time until the engine's running responses have ended.
	loadTimeout = 12 * time.Second
	// maxSteps limits the orders and audits of one load before the caller is told of the failure.
	maxSteps = 16
)

var (
	errBusy       = errors.New("engine is executing another order")
	errUnprovable = errors.New("engine may have loaded corrupt pieces, and its model has no layers that could be loaded by themselves")
)

// Engine is a client of the local engine.
type Engine interface {
	railstager.Engine
	// State reads the engine's current state.
	State(ctx context.Context) (railenginestate.State, error)
	// StartLoad orders the engine to load staged pieces once its running responses have ended. It does not wait for the load. Errors
	// other than railloadorder.ErrRejected leave open whether the engine has accepted the order, or will.
	StartLoad(ctx context.Context, o railloadorder.Order) error
}

// Loader loads weights on one engine. It is not safe for concurrent use; its exported fields must be set before its first use.
type Loader struct {
	Engine Engine
	Stager *railstager.Stager
	// Layers returns the number of layers of the model, or 0 if it is not known.
	Layers func() int
	// Suspend is called before an order that takes the engine out of service. It returns once the entries send no more requests.
	Suspend func(ctx context.Context)
	// OnProof is called when what is known of the engine's weights may have changed. It may be nil.
	OnProof func(railproof.Proof)
	// Known returns the version of the weights that an entry knows to be proven in the state of a proof, or 0, and whether the entries could be
	// asked. It may be nil if there are no entries.
	Known func(ctx context.Context, p railproof.Proof) (version int64, answered bool)
	// Fence returns once the entries use no weights that were loaded by orders before that of the given proof. It may be nil if there are no
	// entries.
	Fence func(ctx context.Context, p railproof.Proof)
	Log   *slog.Logger

	// last is the state of the engine that was read last, or nil if none was.
	last *railenginestate.State
	// putEvents is the number of put events when that read began. accepted is the number of the order that the engine has last accepted by its
	// answer.
	putEvents, accepted int64
	// unauditable is the number of an order that was accepted while pieces were being put, so that an audit can't tell what it has loaded.
	unauditable int64
	// fence is the proof of a state since which this process has stated nothing about the version that it loads.
	fence railproof.Proof
	// intact are the layers that are known to have been loaded from intact pieces, by the order with the sequence number intactSequence
	// or earlier ones.
	intact         raillayers.Range
	intactSequence int64
	// inherited is set while the engine's layers were loaded by an earlier process, and not verified by this one.
	inherited bool
	// pending is an order of which it is not known whether the engine has accepted it, or will; nil if there is none.
	pending *pendingOrder
}

// Load makes the engine serve a version, and returns once it does. After an error the engine may hold any layers, and Proven tells whether
// it may serve them.
func (l *Loader) Load(ctx context.Context, w raildownloader.Weights) error {
	if err := l.settle(ctx, w); err != nil {
		return err
	}
	l.inherited = false
	if l.last.Version != w.Version {
		l.fence = l.Proof()
	}
	for range maxSteps {
		if l.last.Holds(w.Version, l.allLayers()) && l.Proven(*l.last) {
			return nil
		}
		if err := l.step(ctx, w); err != nil {
			return err
		}
	}
	return errors.Newf("weights were not loaded in %d steps", maxSteps)
}

// step brings the engine closer to serving a version. No piece is put while the engine holds layers of that version that are not known to
// be intact, so that an audit can tell it, also after a restart of this process.
func (l *Loader) step(ctx context.Context, w raildownloader.Weights) error {
	held, proven := l.last.Held, l.Proven(*l.last)
	switch {
	case l.last.HeldVersion != w.Version, held == l.lastLayer() && l.Layers() > 1:
		return l.loadFirstPart(ctx, w)
	case proven && held == l.allButLast():
		l.awaitFence(ctx)
		if err := l.refresh(ctx, w, l.lastLayer()); err != nil {
			return err
		}
		return l.order(ctx, w, l.allLayers())
	}
	if intact, err := l.audit(ctx, w); err != nil || intact {
		return err
	}
	l.Log.Warn("corrupt pieces may have been loaded; they are loaded again", "version", w.Version, "layers", held, "intact", l.intact)
	switch {
	case l.Layers() <= 1:
		return errUnprovable
	case l.intact.Contains(l.allButLast()):
		return l.withdrawLastLayer(ctx, w)
	}
	l.Suspend(ctx)
	if err := l.order(ctx, w, l.lastLayer()); err != nil { // Drops the other layers.
		return err
	}
	return l.loadFirstPart(ctx, w)
}

// loadFirstPart loads all layers but the last one on an engine that holds none of them.
func (l *Loader) loadFirstPart(ctx context.Context, w raildownloader.Weights) error {
	if err := l.stage(ctx, w); err != nil {
		return err
	}
	layers := l.allButLast()
	if l.Layers() <= 1 {
		layers = l.allLayers()
		l.awaitFence(ctx)
	}
	if err := l.refresh(ctx, w, layers); err != nil {
		return err
	}
	l.Suspend(ctx)
	return l.order(ctx, w, layers)
}

// withdrawLastLayer makes the engine drop the last layer, so that it rejects requests.
func (l *Loader) withdrawLastLayer(ctx context.Context, w raildownloader.Weights) error {
	l.Suspend(ctx)
	return l.order(ctx, w, l.allButLast())
}

// Withdraw makes the engine reject requests. It holds a version of which some layers may have been loaded from corrupt pieces.
func (l *Loader) Withdraw(ctx context.Context, model string, version int64) error {
	if l.Layers() <= 1 {
		return errUnprovable
	}
	return l.withdrawLastLayer(ctx, raildownloader.Weights{Model: model, Version: version})
}
