package railagent

import (
	"context"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/node/railreporter"
	"github.com/fulmarrail/fulmarrail/internal/report/railagentreport"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const chunkTimeout = 10 * time.Second

// service answers the system's other processes.
type service struct {
	railproto.DRPCAgentUnimplementedServer
	agent *Agent
}

func (s *service) Heartbeat(_ context.Context, req *railproto.HeartbeatRequest) (*railproto.HeartbeatReply, error) {
	a := s.agent
	a.keeper.Confirm(req.GetRevision(), time.Duration(req.GetConfirmedAgeMillis())*time.Millisecond)
	return &railproto.HeartbeatReply{
		Incarnation: a.gate.Incarnation, Revision: a.keeper.Number(), ConfirmedAgeMillis: a.keeper.Age().Milliseconds(),
		Leaving: a.stopping.Load(), Serving: a.gate.Serving(), Load: a.gate.Limiter.Load(),
	}, nil
}

func (s *service) Revision(_ context.Context, req *railproto.RevisionRequest) (*railproto.RevisionReply, error) {
	return s.agent.keeper.Exchange(req)
}

func (s *service) Status(context.Context, *railproto.StatusRequest) (*railproto.StatusReply, error) {
	return railreporter.Reply(s.agent.status())
}

func (s *service) Execute(req *railproto.ExecuteRequest, stream railproto.DRPCAgent_ExecuteStream) error {
	return s.agent.executor.Execute(stream.Context(), req, stream.Send)
}

func (s *service) Attach(req *railproto.AttachRequest, stream railproto.DRPCAgent_AttachStream) error {
	return s.agent.executor.Attach(stream.Context(), req, stream.Send)
}

func (s *service) Cancel(_ context.Context, req *railproto.CancelRequest) (*railproto.CancelReply, error) {
	if req.GetIncarnation() == s.agent.gate.Incarnation {
		s.agent.executor.Cancel(req.GetRequestId())
	}
	return &railproto.CancelReply{}, nil
}

func (s *service) Chunk(ctx context.Context, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
	return s.agent.sharing.Chunk(ctx, req)
}

func (a *Agent) status() railagentreport.Report {
	load := a.gate.Limiter.Load()
	phase, held, total := a.reconciler.Progress()
	return railagentreport.Report{
		Name: a.Self.Name, Incarnation: a.gate.Incarnation, Zone: a.Self.Zone, Service: a.Self.Service,
		Revision: a.keeper.Number(), Serving: a.gate.Serving(), Leaving: a.stopping.Load(),
		Running: int(load.GetRunning()), Limit: int(load.GetLimit()), Weights: a.gate.Weights(),
		Phase: phase, ChunksHeld: held, ChunksTotal: total, CorruptRejected: a.fetcher.CorruptChunks(),
	}
}
