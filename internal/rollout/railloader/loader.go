package railloader

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
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

// pendingOrder is an order to hold layers of weights, sent when the engine had accepted the number sequence of orders.
type pendingOrder struct {
	weights  raildownloader.Weights
	layers   raillayers.Range
	sequence int64
}

// State reads the engine's state.
func (l *Loader) State(ctx context.Context) (railenginestate.State, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	putEvents := l.Stager.PutEvents()
	s, err := l.Engine.State(ctx)
	if err != nil {
		return s, errors.Wrap(err, "read the engine's state")
	}
	l.observe(s)
	l.putEvents = putEvents
	l.publish()
	return s, nil
}

// Proof returns what is known of the engine's weights in the state that was read last.
func (l *Loader) Proof() railproof.Proof {
	if l.last == nil {
		return railproof.Proof{}
	}
	p := railproof.Proof{StartMillis: l.last.StartMillis, Sequence: l.last.Sequence}
	if l.Proven(*l.last) {
		p.Version = l.last.Version
	}
	return p
}

func (l *Loader) publish() {
	if l.OnProof != nil {
		l.OnProof(l.Proof())
	}
}

// observe applies a state that was read.
func (l *Loader) observe(s railenginestate.State) {
	switch {
	case l.last == nil:
		l.Stager.ExpectEarlierPuts()
		l.adopt(s)
	case !s.Follows(*l.last):
		l.Log.Info("engine has restarted", "start", s.StartMillis, "sequence", s.Sequence)
		l.Stager.Forget()
		l.pending, l.accepted, l.unauditable = nil, 0, 0
		l.adopt(s)
	case s.Sequence != l.last.Sequence:
		l.observeOrder(s)
	}
	l.last = &s
}

// adopt takes over an engine in a state that this process has not brought about. An engine that has accepted no order since its start holds what it
// came with. Of other layers nothing is known; an earlier process may have put pieces again after a part of them was loaded.
func (l *Loader) adopt(s railenginestate.State) {
	if s.Busy || s.HeldVersion > 0 && s.Version == 0 {
		l.unauditable = s.Sequence
	}
	l.intact, l.intactSequence, l.inherited = raillayers.Range{}, s.Sequence, s.Sequence > 0
	if s.Sequence == 0 && s.Version > 0 {
		l.intact = s.Held
	}
}

// observeOrder applies a state in which the engine has accepted a further order: this process's last one, or one without an answer, which may be of
// an earlier process.
func (l *Loader) observeOrder(s railenginestate.State) {
	if l.pending != nil && s.Sequence != l.pending.sequence {
		l.pending = nil // The engine has accepted it, or another one in its place.
	}
	if s.Sequence != l.accepted && l.Stager.PutEvents() != l.putEvents {
		l.unauditable = s.Sequence
		l.Log.Warn("an order was accepted while pieces were being put", "start", s.StartMillis, "sequence", s.Sequence)
	}
}

// Proven reports whether all layers that the engine held in a state are known to have been loaded from intact pieces.
func (l *Loader) Proven(s railenginestate.State) bool {
	return s.HeldVersion > 0 && s.Sequence == l.intactSequence && l.intact.Contains(s.Held)
}

// Inherited reports whether an earlier process has loaded the engine's layers, and it is not known yet whether they are intact.
func (l *Loader) Inherited() bool {
	return l.inherited
}

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
