package railentry

import (
	"context"

	"github.com/fulmarrail/fulmarrail/internal/node/railreporter"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// service answers the system's other processes and the operators' commands.
type service struct {
	entry *Entry
}

func (s *service) Heartbeat(ctx context.Context, req *railproto.HeartbeatRequest) (*railproto.HeartbeatReply, error) {
	return s.entry.router.Heartbeat(ctx, req)
}

func (s *service) Revision(ctx context.Context, req *railproto.RevisionRequest) (*railproto.RevisionReply, error) {
	return s.entry.router.ExchangeRevision(ctx, req)
}

func (s *service) Status(context.Context, *railproto.StatusRequest) (*railproto.StatusReply, error) {
	return railreporter.Reply(s.entry.router.Status(s.entry.front.Running()))
}
