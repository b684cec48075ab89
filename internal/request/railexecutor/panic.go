package railexecutor

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/admission/railadmission"
	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/request/railcall"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// The kinds of work in which a panic is contained.
const (
	unitCall     = "call"
	unitEndpoint = "endpoint"
	unitClaim    = "claim"
	unitFrame    = "final frame"
	unitRelease  = "release"
)

// slot is the admission of one call, which is released once. It is not safe for concurrent use.
type slot struct {
	admission *railadmission.Controller
	released  bool
	// mayHaveRun is set before the call is passed to the endpoint, or another call is asked whether it has run under the same key.
	mayHaveRun bool
}

func (s *slot) release(inFlight int, firstPart, meanInterval time.Duration, ok bool) {
	s.once(func() { s.admission.Release(inFlight, firstPart, meanInterval, ok) })
}

func (s *slot) releaseExpired(elapsed, firstPart, meanInterval time.Duration) {
	s.once(func() { s.admission.ReleaseExpired(elapsed, firstPart, meanInterval) })
}

func (s *slot) releaseUnsampled() {
	s.once(s.admission.ReleaseUnsampled)
}

// once releases the admission if it has not been released. A panic doesn't reach the call, which still gets its final frame.
func (s *slot) once(release func()) {
	defer func() { _ = railpanic.Recovered(recover(), s.admission.Log, unitRelease) }()
	if !s.released {
		s.released = true
		release()
	}
}

// endPanicked ends a call whose work has panicked. It must be deferred. The key of a call that may have run stays claimed.
func (e *Executor) endPanicked(call *railcall.Call, s *slot) {
	if railpanic.Recovered(recover(), e.Log, unitCall, "request", call.RequestID) == nil {
		return
	}
	defer s.releaseUnsampled()
	call.Append(e.panickedFrame(call.RequestID, s.mayHaveRun))
}

// panickedFrame returns the final frame of a call whose work has panicked. The frame lacks the agent's state if that panics too.
func (e *Executor) panickedFrame(requestID string, mayHaveRun bool) (frame *railproto.Frame) {
	kind, reason := railproto.FrameKind_FRAME_KIND_REFUSED, railproto.Reason_REASON_ENDPOINT_REFUSED
	if mayHaveRun {
		kind, reason = railproto.FrameKind_FRAME_KIND_ABORTED, railproto.Reason_REASON_ENDPOINT_FAILED
	}
	defer func() {
		if railpanic.Recovered(recover(), e.Log, unitFrame, "request", requestID) != nil {
			frame = &railproto.Frame{RequestId: requestID, Kind: kind, Reason: reason, MayHaveRun: mayHaveRun}
		}
	}()
	if mayHaveRun {
		return e.abortedFrame(requestID, reason)
	}
	return e.rejectionFrame(requestID, reason)
}

// runContained passes a request to the endpoint. A panic is an error of a request that may have run.
func (e *Executor) runContained(ctx context.Context, req *railproto.ExecuteRequest, emit func(*railproto.Frame)) (verdict railverdict.Verdict, err error) {
	defer func() {
		if p := railpanic.Recovered(recover(), e.Log, unitEndpoint, "request", req.GetRequestId()); p != nil {
			verdict, err = railverdict.MayHaveRun, p
		}
	}()
	return e.Endpoint.Run(ctx, req, emit)
}

// claimContained claims a call's key. A panic means that the key can't be claimed, so that the request must not run.
func (e *Executor) claimContained(ctx context.Context, call *railcall.Call, expectedVersion int64) (version int64, existing *railproto.Claim, err error) {
	defer func() {
		if p := railpanic.Recovered(recover(), e.Log, unitClaim, "request", call.RequestID); p != nil {
			version, existing, err = 0, nil, p
		}
	}()
	return e.Claimer.Claim(ctx, call.Key, call.RequestID, call.BodyDigest, expectedVersion)
}

func isPanic(err error) bool {
	var p *railpanic.Error
	return errors.As(err, &p)
}

// detail returns the text of an error for a frame. It does not say with what work has panicked.
func detail(err error) string {
	if isPanic(err) {
		return "the agent has failed"
	}
	return strings.ToValidUTF8(err.Error(), "?")
}
