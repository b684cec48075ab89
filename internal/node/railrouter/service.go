package railrouter

import (
	"context"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Heartbeat answers another process's heartbeat.
func (r *Router) Heartbeat(_ context.Context, req *railproto.HeartbeatRequest) (*railproto.HeartbeatReply, error) {
	r.init()
	r.keeper.Confirm(req.GetRevision(), time.Duration(req.GetConfirmedAgeMillis())*time.Millisecond)
	return &railproto.HeartbeatReply{
		Revision:           r.keeper.Number(),
		ConfirmedAgeMillis: r.keeper.Age().Milliseconds(), Leaving: r.stopping.Load(),
	}, nil
}

// ExchangeRevision brings the side that is behind up to the other's revision.
func (r *Router) ExchangeRevision(_ context.Context, req *railproto.RevisionRequest) (*railproto.RevisionReply, error) {
	r.init()
	return r.keeper.Exchange(req)
}
