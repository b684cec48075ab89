package railforwarder_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/limit/railquarantine"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/retry/railbudget"
	"github.com/fulmarrail/fulmarrail/internal/retry/railforwarder"
	"github.com/fulmarrail/fulmarrail/internal/routing/railcandidate"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// silentAgent accepts requests and sends nothing more.
type silentAgent struct {
	railproto.DRPCAgentClient
	attached, canceled atomic.Int32
}

type silentStream struct {
	railproto.DRPCAgent_ExecuteClient
	ctx context.Context
}

func (a *silentAgent) Execute(ctx context.Context, _ *railproto.ExecuteRequest) (railproto.DRPCAgent_ExecuteClient, error) {
	return &silentStream{ctx: ctx}, nil
}

func (a *silentAgent) Attach(ctx context.Context, _ *railproto.AttachRequest) (railproto.DRPCAgent_AttachClient, error) {
	a.attached.Add(1)
	return &silentStream{ctx: ctx}, nil
}

func (a *silentAgent) Cancel(context.Context, *railproto.CancelRequest) (*railproto.CancelReply, error) {
	a.canceled.Add(1)
	return &railproto.CancelReply{}, nil
}

func (s *silentStream) Recv() (*railproto.Frame, error) {
	<-s.ctx.Done()
	return nil, s.ctx.Err()
}

func (s *silentStream) Close() error { return nil }

// Guards against a request that is followed until its deadline, and is not canceled at its agent, although nobody waits for its response
// any more: at the end of an entry's drain it would get no answer.
func TestCanceledRequestEndsAtOnceThoughItsEndpointIsSilent(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		agent := &silentAgent{}
		f := &railforwarder.Forwarder{
			Acquire: func(context.Context, railrequest.Request, bool) (railcandidate.Candidate, error) {
				return railcandidate.Candidate{}, nil
			},
			Connect:    func(context.Context, string) railproto.DRPCAgentClient { return agent },
			UpdateLoad: func(string, string, *railproto.Load) {}, Suspect: func(string, string) {}, RecordDecision: func(string) {},
			RecordCompletion: func(int, time.Duration) {}, Revision: func() uint64 { return 1 },
			Budget: &railbudget.Budget{}, RetryShare: func() float64 { return 0 }, Log: slog.New(slog.DiscardHandler),
			Quarantine: &railquarantine.Quarantine{Log: slog.New(slog.DiscardHandler)},
		}
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		time.AfterFunc(time.Second, cancel)
		verdict, _, err := f.Forward(ctx, railrequest.Request{ID: "r", Deadline: start.Add(time.Minute)}, func(string, *railproto.Frame) error { return nil })
		qt.Check(t, verdict, qt.Equals, railverdict.MayHaveRun)
		qt.Check(t, errors.Is(err, railforwarder.ErrCallerDisconnected), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, time.Since(start), qt.Equals, time.Second)
		qt.Check(t, agent.attached.Load(), qt.Equals, int32(0))
		qt.Check(t, agent.canceled.Load(), qt.Equals, int32(1))
	})
}
