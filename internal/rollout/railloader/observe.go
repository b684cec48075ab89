package railloader

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/membership/railproof"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railenginestate"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raillayers"
)

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
