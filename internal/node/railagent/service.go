package railagent

import (
	"context"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/node/railstatus"
	"github.com/fulmarrail/fulmarrail/internal/report/railagentreport"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const chunkRequestTimeout = 10 * time.Second

// agentServer serves calls from the deployment's other processes.
type agentServer struct {
	railproto.DRPCAgentUnimplementedServer
	agent *Agent
}

func (s *agentServer) Heartbeat(_ context.Context, req *railproto.HeartbeatRequest) (*railproto.HeartbeatReply, error) {
	a := s.agent
	a.revisions.Confirm(req.GetRevision(), time.Duration(req.GetConfirmedAgeMillis())*time.Millisecond)
	a.era.Observe(req.GetStoreEra(), time.Duration(req.GetStoreEraAgeMillis())*time.Millisecond)
	era, eraAge := a.era.Latest()
	return &railproto.HeartbeatReply{
		Incarnation: a.admission.Incarnation, Revision: a.revisions.Number(), ConfirmedAgeMillis: a.revisions.Age().Milliseconds(),
		Leaving: a.stopping.Load(), Serving: a.admission.Serving(), Load: a.admission.Load(),
		PauseMillis: a.admission.PauseRemaining().Milliseconds(), StoreEra: era, StoreEraAgeMillis: eraAge.Milliseconds(),
	}, nil
}

func (s *agentServer) Revision(_ context.Context, req *railproto.RevisionRequest) (*railproto.RevisionReply, error) {
	return s.agent.revisions.Exchange(req)
}

func (s *agentServer) Status(context.Context, *railproto.StatusRequest) (*railproto.StatusReply, error) {
	return railstatus.Reply(s.agent.status())
}

func (s *agentServer) Execute(req *railproto.ExecuteRequest, stream railproto.DRPCAgent_ExecuteStream) error {
	return s.agent.executor.Execute(stream.Context(), req, stream.Send)
}

func (s *agentServer) Attach(req *railproto.AttachRequest, stream railproto.DRPCAgent_AttachStream) error {
	return s.agent.executor.Attach(stream.Context(), req, stream.Send)
}

func (s *agentServer) Cancel(_ context.Context, req *railproto.CancelRequest) (*railproto.CancelReply, error) {
	if req.GetIncarnation() == s.agent.admission.Incarnation {
		s.agent.executor.Cancel(req.GetRequestId())
	}
	return &railproto.CancelReply{}, nil
}

func (s *agentServer) Chunk(ctx context.Context, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
	return s.agent.chunkServer.Chunk(ctx, req)
}

func (a *Agent) status() railagentreport.Report {
	load := a.admission.Limiter.Load()
	phase, chunksHeld, chunksTotal := a.reconciler.Progress()
	return railagentreport.Report{
		Name: a.Self.Name, Incarnation: a.admission.Incarnation, Zone: a.Self.Zone, Service: a.Self.Service,
		Revision: a.revisions.Number(), Serving: a.admission.Serving(), Leaving: a.stopping.Load(),
		Running: int(load.GetRunning()), Limit: int(load.GetLimit()), Weights: a.admission.Weights(),
		Phase: phase, ChunksHeld: chunksHeld, ChunksTotal: chunksTotal, CorruptChunks: a.fetcher.CorruptChunks(),
	}
}
