package railentry

import (
	"context"

	"github.com/fulmarrail/fulmarrail/internal/node/railstatus"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// nodeServer serves calls from the deployment's other processes and from operators' commands.
type nodeServer struct {
	entry *Entry
}

func (s *nodeServer) Heartbeat(ctx context.Context, req *railproto.HeartbeatRequest) (*railproto.HeartbeatReply, error) {
	return s.entry.router.Heartbeat(ctx, req)
}

func (s *nodeServer) Revision(ctx context.Context, req *railproto.RevisionRequest) (*railproto.RevisionReply, error) {
	return s.entry.router.ExchangeRevision(ctx, req)
}

func (s *nodeServer) Status(context.Context, *railproto.StatusRequest) (*railproto.StatusReply, error) {
	return railstatus.Reply(s.entry.router.Status(s.entry.front.Running()))
}
