package railexecutor

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/request/railcall"
	"github.com/fulmarrail/fulmarrail/internal/request/railclaim"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// runClaimed runs a request under its caller's key once the key is claimed; the call's key is the claim's row.
func (e *Executor) runClaimed(ctx context.Context, call *railcall.Call, req *railproto.ExecuteRequest) {
	over := int64(0)
	for {
		version, standing, err := e.Claimer.Claim(ctx, call.Key, call.RequestID, call.BodyDigest, over)
		switch {
		case err == nil:
			e.runOwned(ctx, call, req, version)
			return
		case !errors.Is(err, railclaim.ErrHeld):
			e.Admission.ReleaseUnsampled()
			call.Append(e.refusal(call.RequestID, railproto.Reason_REASON_CLAIM_UNAVAILABLE))
			return
		}
		if !e.abandoned(ctx, call, standing) {
			e.Admission.ReleaseUnsampled()
			return
		}
		over = version
	}
}

// runOwned runs a request whose key this incarnation has claimed and writes the outcome behind the answer.
func (e *Executor) runOwned(ctx context.Context, call *railcall.Call, req *railproto.ExecuteRequest, version int64) {
	var answer []byte
	var end *railproto.Frame
	verdict, err := e.pass(ctx, call, req, func(f *railproto.Frame) {
		answer = append(answer, f.GetData()...)
		if f.GetKind() == railproto.FrameKind_FRAME_KIND_END {
			end = f
			return
		}
		call.Append(f)
	})
	switch {
	case err != nil && verdict == railverdict.NotRun:
		call.Append(e.failure(call.RequestID, verdict, err))
	case err != nil:
		// The key stays claimed: nobody can know whether the order was committed.
		call.Append(e.failure(call.RequestID, verdict.AfterSend(), err))
	default:
		e.Claimer.WriteOutcome(call.Key, version, call.RequestID, call.BodyDigest, end.GetStatus(), end.GetContentType(), answer)
		call.Append(end)
	}
}

// abandoned answers a call from the claim that holds its key, or reports that the claim's request never ran and never
// will, so that the key may be taken over.
func (e *Executor) abandoned(ctx context.Context, call *railcall.Call, standing *railproto.Claim) bool {
	switch {
	case standing.GetBodyDigest() != call.BodyDigest:
		call.Append(e.refusal(call.RequestID, railproto.Reason_REASON_KEY_REUSED))
		return false
	case standing.GetDone() && !standing.GetAnswerOmitted():
		call.Append(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_DATA, Data: standing.GetAnswer()})
		call.Append(&railproto.Frame{
			Kind: railproto.FrameKind_FRAME_KIND_END, Count: 1, Status: standing.GetStatus(), ContentType: standing.GetContentType(),
		})
		return false
	}
	ask := &railproto.AttachRequest{Incarnation: standing.GetIncarnation(), RequestId: standing.GetRequestId(), RevokeUnknown: false}
	neverRan := false
	relay := func(f *railproto.Frame) error {
		if f.GetKind() == railproto.FrameKind_FRAME_KIND_REFUSED {
			neverRan = true
			return nil
		}
		call.Append(&railproto.Frame{
			Kind: f.GetKind(), Data: f.GetData(), Count: f.GetCount(), Status: f.GetStatus(),
			ContentType: f.GetContentType(), Reason: f.GetReason(), Detail: f.GetDetail(), MayHaveRun: f.GetMayHaveRun(),
		})
		return nil
	}
	if err := e.ask(ctx, standing, ask, relay); err != nil {
		e.Log.Warn("holder of a key can't be asked", "holder", standing.GetHolder(), "err", err)
		call.Append(e.unclear(call.RequestID, railproto.Reason_REASON_CLAIM_HELD))
	}
	return neverRan
}

func (e *Executor) ask(ctx context.Context, standing *railproto.Claim, req *railproto.AttachRequest, relay func(*railproto.Frame) error) error {
	if standing.GetIncarnation() == e.Admission.Incarnation {
		return e.Attach(ctx, req, relay)
	}
	return e.AttachRemote(ctx, standing.GetAddress(), req, relay)
}
