package railenginestate

import "github.com/fulmarrail/fulmarrail/internal/rollout/raillayers"

// State is the state that an engine reports.
type State struct {
	// Version is the version of the complete weights in service, or 0 if there are none.
	Version int64
	// Held are the layers that the engine holds, of HeldVersion. HeldVersion is 0 if it holds none.
	Held        raillayers.Range
	HeldVersion int64
	// Busy is true while the engine executes an order.
	Busy bool
	// Sequence is the number of orders that the engine has accepted since its start, and StartMillis the time of that start in Unix
	// milliseconds, or 0 if it is not known.
	Sequence, StartMillis int64
}

// Holds reports whether the engine holds the given layers of a version and executes no order.
func (s State) Holds(version int64, layers raillayers.Range) bool {
	return !s.Busy && s.HeldVersion == version && s.Held.Contains(layers)
}

// Follows reports whether the engine may have reached this state from an earlier one without a restart. A restart loses all layers, and
// may lose staged pieces.
func (s State) Follows(earlier State) bool {
	return s.StartMillis == earlier.StartMillis && s.Sequence >= earlier.Sequence
}
