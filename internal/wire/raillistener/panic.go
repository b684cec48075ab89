package raillistener

import (
	"log/slog"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
)

// The kinds of work in which a panic is contained.
const (
	unitConnection = "connection"
	unitRPC        = "rpc"
)

// errHandlerFailed is what the peer gets. It does not say with what the handler has panicked.
var errHandlerFailed = errors.New("the process has failed on this call")

// containingHandler makes a panic in one RPC the error of that RPC.
type containingHandler struct {
	drpc.Handler
	log *slog.Logger
}

// HandleRPC handles one RPC. A panic is an error.
func (h *containingHandler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if railpanic.Recovered(recover(), h.log, unitRPC, "rpc", rpc) != nil {
			err = errHandlerFailed
		}
	}()
	return h.Handler.HandleRPC(stream, rpc)
}
