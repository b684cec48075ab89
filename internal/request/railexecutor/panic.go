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

func (s *slot) once(release func()) {
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
	if s.mayHaveRun {
		call.Append(e.abortedFrame(call.RequestID, railproto.Reason_REASON_ENDPOINT_FAILED))
		return
	}
	call.Append(e.rejectionFrame(call.RequestID, railproto.Reason_REASON_ENDPOINT_REFUSED))
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
