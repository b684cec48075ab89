package railloadorder

import (
	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/rollout/raillayers"
)

// ErrRejected marks the errors of orders that the engine has not accepted and never will.
var ErrRejected = errors.New("the engine did not accept the order")

// Order makes an engine hold the given layers of a version. The engine loads those that it lacks from its staged pieces, as these are at
// the moment at which it accepts the order, and drops all others.
type Order struct {
	Model   string
	Version int64
	// Layers are the layers to hold. The zero value means all layers.
	Layers raillayers.Range
	// Sequence is the number of orders that the engine must have accepted before this one, so that it accepts only one of two orders with
	// the same number.
	Sequence int64
}
