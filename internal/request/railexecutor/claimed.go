package railexecutor

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/request/railcall"
	"github.com/fulmarrail/fulmarrail/internal/request/railclaim"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// runClaimed claims the request's key and runs the request. If another request holds the key, the existing claim determines the
// response, or is taken over if its request never ran.
func (e *Executor) runClaimed(ctx context.Context, call *railcall.Call, req *railproto.ExecuteRequest, s *slot) {
	expectedVersion := int64(0)
	for {
		version, existing, err := e.claimContained(ctx, call, expectedVersion)
		switch {
		case err == nil:
			e.runWithClaim(ctx, call, req, version, s)
			return
		case !errors.Is(err, railclaim.ErrHeld):
			s.releaseUnsampled()
			frame := e.rejectionFrame(call.RequestID, railproto.Reason_REASON_CLAIM_UNAVAILABLE)
			frame.RetryAfterMillis = e.Claimer.Unsettled().Milliseconds()
			call.Append(frame)
			return
		}
		s.mayHaveRun = true
		if !e.resolveExistingClaim(ctx, call, existing) {
			s.releaseUnsampled()
			return
		}
		s.mayHaveRun = false
		expectedVersion = version
	}
}

// runWithClaim runs a request whose key this incarnation has claimed, and writes the outcome in the background.
func (e *Executor) runWithClaim(ctx context.Context, call *railcall.Call, req *railproto.ExecuteRequest, version int64, s *slot) {
	var response []byte
	var endFrame *railproto.Frame
	verdict, err := e.runAtEndpoint(ctx, call, req, s, func(f *railproto.Frame) {
		response = append(response, f.GetData()...)
		if f.GetKind() == railproto.FrameKind_FRAME_KIND_END {
			endFrame = f
			return
		}
		call.Append(f)
	})
	switch {
	case err != nil && verdict == railverdict.NotRun:
		e.Claimer.Release(call.Key)
		call.Append(e.failureFrame(call.RequestID, verdict, err))
	case err != nil:
		// The key stays claimed because it is unknown whether the request took effect.
		call.Append(e.failureFrame(call.RequestID, verdict.AfterSend(), err))
	default:
		e.Claimer.WriteOutcome(call.Key, version, call.RequestID, call.BodyDigest, endFrame.GetStatus(), endFrame.GetContentType(), response)
		call.Append(endFrame)
	}
}

// resolveExistingClaim responds to a call from the claim that holds its key. It reports true if the claim's request has not run and
// never will, so that the key may be taken over.
func (e *Executor) resolveExistingClaim(ctx context.Context, call *railcall.Call, existing *railproto.Claim) bool {
	switch {
	case existing.GetBodyDigest() != call.BodyDigest:
		call.Append(e.rejectionFrame(call.RequestID, railproto.Reason_REASON_KEY_REUSED))
		return false
	case existing.GetDone() && !existing.GetAnswerOmitted():
		call.Append(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_DATA, Data: existing.GetAnswer()})
		call.Append(&railproto.Frame{
			Kind: railproto.FrameKind_FRAME_KIND_END, Count: 1, Status: existing.GetStatus(), ContentType: existing.GetContentType(),
		})
		return false
	}
	attachReq := &railproto.AttachRequest{Incarnation: existing.GetIncarnation(), RequestId: existing.GetRequestId(), RevokeUnknown: false}
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
	if err := e.followHolder(ctx, existing, attachReq, relay); err != nil {
		e.Log.Warn("following a request at the holder of its key failed", "holder", existing.GetHolder(), "err", err)
		call.Append(e.abortedFrame(call.RequestID, railproto.Reason_REASON_CLAIM_HELD))
	}
	return neverRan
}

func (e *Executor) followHolder(ctx context.Context, existing *railproto.Claim, req *railproto.AttachRequest, relay func(*railproto.Frame) error) error {
	if existing.GetIncarnation() == e.Admission.Incarnation {
		return e.Attach(ctx, req, relay)
	}
	return e.AttachRemote(ctx, existing.GetAddress(), req, relay)
}
