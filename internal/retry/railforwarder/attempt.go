package railforwarder

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/limit/railquarantine"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/routing/railcandidate"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// maxTurnWaitShare is the share of the time until the deadline for which a suspected request waits for others to finish.
	maxTurnWaitShare = 0.5
	// successfulStreamTime is the time after which a stream that has begun counts as successful, though it is not complete.
	successfulStreamTime = 200 * time.Millisecond
)

// attempt is the state of one attempt at one incarnation of an agent.
type attempt struct {
	candidate railcandidate.Candidate
	// pass is the permission to run a request with these shared parts.
	pass      *railquarantine.Pass
	requestID string
	startedAt time.Time
	// begunAt is the time of the first frame of the response, or zero if there was none.
	begunAt          time.Time
	nextSequence     uint64
	deliveredFrames  int
	weightsDigest    string
	finalFrame       *railproto.Frame
	decisionRecorded bool
	// sent is set before the request is sent.
	sent bool
}

// admitAttempt waits until the request may run at an endpoint, and returns an attempt there. Its errors mean that the request was not run: its
// shared parts are quarantined, or no endpoint or no turn among suspected requests was available in time.
func (f *Forwarder) admitAttempt(ctx context.Context, req railrequest.Request, requeue bool) (*attempt, error) {
	turnBy := time.Now().Add(time.Duration(maxTurnWaitShare * float64(time.Until(req.Deadline))))
	for {
		a, err := f.tryAdmit(ctx, req, requeue, turnBy)
		if a != nil || err != nil {
			return a, err
		}
		requeue = true
	}
}

// tryAdmit is admitAttempt. It returns nil if the pass is not given any more once an endpoint has room.
func (f *Forwarder) tryAdmit(ctx context.Context, req railrequest.Request, requeue bool, turnBy time.Time) (*attempt, error) {
	pass, err := f.Quarantine.Enter(ctx, req.SharedParts, turnBy)
	if err != nil {
		return nil, err
	}
	begun := false
	defer func() {
		if !begun {
			pass.Release()
		}
	}()
	req.IsolationKey = pass.IsolationKey()
	candidate, err := f.Acquire(ctx, req, requeue)
	if err != nil {
		return nil, err
	}
	defer func() {
		if !begun {
			f.RecordDecision(candidate.Member.Name)
		}
	}()
	if begun = pass.Begin(); !begun {
		return nil, nil
	}
	return &attempt{candidate: candidate, pass: pass, startedAt: time.Now()}, nil
}

// recordSuccess records that the endpoint has run the request without harm: its response is complete, or has gone on for a while after it had begun.
// Failures don't tell whether it has run at all.
func (a *attempt) recordSuccess(frame *railproto.Frame) {
	if a.begunAt.IsZero() {
		a.begunAt = time.Now()
	}
	complete := frame.GetKind() == railproto.FrameKind_FRAME_KIND_END && frame.GetStatus() < fasthttp.StatusMultipleChoices
	if complete || time.Since(a.begunAt) > successfulStreamTime {
		a.pass.Succeeded()
	}
}

// settle records what the attempt says about the request's shared parts.
func (a *attempt) settle() {
	if endpointEnded(a.finalFrame) {
		a.pass.EngineEnded(a.candidate.Member.Name + "/" + a.finalFrame.GetEndedIncarnation())
	}
	a.pass.Release()
}

// recordDecisionOnce records that the attempt no longer waits for admission, at most once per attempt.
func (f *Forwarder) recordDecisionOnce(a *attempt) {
	if !a.decisionRecorded {
		a.decisionRecorded = true
		f.RecordDecision(a.candidate.Member.Name)
	}
}

// endpointEnded reports whether an attempt's endpoint ended while the request was running there.
func endpointEnded(finalFrame *railproto.Frame) bool {
	return finalFrame.GetReason() == railproto.Reason_REASON_ENDPOINT_ENDED
}
