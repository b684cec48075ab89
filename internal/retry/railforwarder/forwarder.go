package railforwarder

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/limit/railquarantine"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/retry/railbudget"
	"github.com/fulmarrail/fulmarrail/internal/routing/railcandidate"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// maxFailedAttempts bounds the failed attempts of a request. Attempts that are rejected for lack of capacity don't count; only the
	// request's deadline bounds them.
	maxFailedAttempts = 64
	// maxEndedEndpoints is the number of endpoints that may end while a request is running there before it is no longer retried.
	maxEndedEndpoints = 2
	// attachAttempts is the number of attempts to resume an interrupted response.
	attachAttempts = 3
	attachDelay    = 100 * time.Millisecond
	// attachGrace is the time after the request's deadline until which the forwarder still tries to learn the outcome.
	attachGrace   = time.Second
	attemptDelay  = 5 * time.Millisecond
	cancelTimeout = time.Second
)

var (
	// ErrCallerDisconnected means that the response could not be delivered to the caller, or is no longer wanted.
	ErrCallerDisconnected = errors.New("the caller has left")
	errInterrupted        = errors.New("the answer was cut")
	errRejected           = errors.New("the request was refused")
	errAborted            = errors.New("the request was aborted")
)

// Forwarder forwards the requests of one service. Its exported fields must be set before first use.
type Forwarder struct {
	// Acquire waits for an endpoint with capacity. Its errors mean that the request was not run. With requeue, the request was
	// rejected by an endpoint without capacity and resumes its position in the queue.
	Acquire func(ctx context.Context, req railrequest.Request, requeue bool) (railcandidate.Candidate, error)
	// Connect returns a client for the agent at an address.
	Connect func(ctx context.Context, address string) railproto.DRPCAgentClient
	// UpdateLoad processes a load report. Suspect excludes an endpoint from selection until it is heard from again.
	UpdateLoad func(name, incarnation string, load *railproto.Load)
	Suspect    func(name, incarnation string)
	// RecordDecision records that an endpoint's agent has admitted or rejected a request.
	RecordDecision func(name string)
	// RecordCompletion records a complete response and its duration since the endpoint was selected.
	RecordCompletion func(priority int, duration time.Duration)
	// Revision returns the number of the current configuration revision.
	Revision func() uint64
	Budget   *railbudget.Budget
	// RetryShare returns the fraction of a retry that each successful request adds to the budget.
	RetryShare func() float64
	// Quarantine keeps requests with parts under which endpoints end from further endpoints.
	Quarantine *railquarantine.Quarantine
	Log        *slog.Logger
}

// Forward runs a request and passes the data frames and the end frame of the response to deliver. The verdict covers all attempts.
// The returned frame is the final frame of the last attempt, or nil if there is none. It holds the reason if the verdict is not Ran.
// The error matches ErrCallerDisconnected if deliver failed, or if ctx was canceled while an endpoint had the request.
func (f *Forwarder) Forward(ctx context.Context, req railrequest.Request, deliver func(endpoint string, frame *railproto.Frame) error) (railverdict.Verdict, *railproto.Frame, error) {
	verdict := railverdict.NotRun
	var finalFrame *railproto.Frame
	failures, endedEndpoints := 0, 0
	for attemptNumber := 0; failures < maxFailedAttempts; attemptNumber++ {
		a, err := f.admitContained(ctx, req, finalFrame.GetReason() == railproto.Reason_REASON_LIMIT)
		if err != nil {
			return verdict, finalFrame, err
		}
		outcome, err := f.runContained(ctx, req, attemptNumber, a, deliver)
		finalFrame = a.finalFrame
		if finalFrame.GetReason() != railproto.Reason_REASON_LIMIT {
			failures++
		}
		if endpointEnded(finalFrame) {
			endedEndpoints++
		}
		switch {
		case errors.Is(err, errFailed):
			return max(verdict, outcome), finalFrame, err
		case outcome == railverdict.Ran:
			f.Budget.Deposit(f.RetryShare())
			f.RecordCompletion(req.Priority, time.Since(a.startedAt))
			return outcome, finalFrame, nil
		case errors.Is(err, ErrCallerDisconnected), ctx.Err() != nil:
			return max(verdict, outcome), finalFrame, err
		case a.deliveredFrames > 0:
			// Parts of responses from different attempts must never be combined.
			return railverdict.MayHaveRun, finalFrame, err
		case outcome == railverdict.NotRun && isFinalRejection(finalFrame):
			return verdict, finalFrame, err
		case outcome == railverdict.MayHaveRun:
			verdict = railverdict.MayHaveRun
			if !verdict.Retryable(req.Idempotent) || endedEndpoints >= maxEndedEndpoints || !f.Budget.TryWithdraw() {
				return verdict, finalFrame, err
			}
			metrics.GetOrCreateCounter(fmt.Sprintf(`fulmarrail_retries_total{service=%q}`, req.Service)).Inc()
			f.Log.Info("request retried", "request", req.ID, "after", a.candidate.Member.Name, "err", err)
		}
		railtimer.Sleep(ctx, attemptDelay)
	}
	return verdict, finalFrame, errors.New("every attempt was refused")
}

// runAttempt makes one attempt and returns the verdict on this attempt only.
func (f *Forwarder) runAttempt(ctx context.Context, req railrequest.Request, attemptNumber int, a *attempt, deliver func(string, *railproto.Frame) error) (railverdict.Verdict, error) {
	name, incarnation := a.candidate.Member.Name, a.candidate.Incarnation
	message := req.AttemptMessage(attemptNumber, incarnation, f.Revision(), time.Now())
	a.requestID = message.GetRequestId()
	a.sent = true
	verdict := railverdict.NotRun
	stream, err := f.Connect(ctx, a.candidate.Member.Address).Execute(ctx, message)
	if err != nil && errors.Is(err, raildialer.ErrDial) {
		f.markSuspect(ctx, a)
		return verdict, err
	}
	verdict = verdict.AfterSend()
	if err == nil {
		err = f.receive(a, stream.Recv, deliver)
		_ = stream.Close()
	}
	if errors.Is(err, errInterrupted) || a.finalFrame == nil && err != nil && !errors.Is(err, ErrCallerDisconnected) {
		f.markSuspect(ctx, a)
		err = f.resume(ctx, req, a, deliver, err)
	}
	if a.finalFrame != nil {
		f.UpdateLoad(name, incarnation, a.finalFrame.GetLoad())
	}
	switch {
	case err == nil:
		return railverdict.Ran, nil
	case errors.Is(err, errRejected):
		f.handleRejection(a)
		return railverdict.NotRun, err
	case endpointEnded(a.finalFrame):
		f.Suspect(name, incarnation)
	case errors.Is(err, ErrCallerDisconnected):
		f.cancel(a)
	}
	return verdict, err
}

// resume requests the rest of an interrupted response from the same incarnation, unless the response is no longer wanted. If the request
// is unknown there, it is revoked, which proves that it has not run and never will.
func (f *Forwarder) resume(ctx context.Context, req railrequest.Request, a *attempt, deliver func(string, *railproto.Frame) error, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errors.Mark(err, ErrCallerDisconnected)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline.Add(attachGrace))
	defer cancel()
	for range attachAttempts {
		stream, attachErr := f.Connect(ctx, a.candidate.Member.Address).Attach(ctx, &railproto.AttachRequest{
			Incarnation: a.candidate.Incarnation, RequestId: a.requestID, FromSequence: a.nextSequence,
			RevokeUnknown: true, AgeMillis: time.Since(a.startedAt).Milliseconds() + 1,
		})
		if attachErr == nil {
			err = f.receive(a, stream.Recv, deliver)
			_ = stream.Close()
		}
		if attachErr == nil && !errors.Is(err, errInterrupted) || ctx.Err() != nil {
			return err
		}
		railtimer.Sleep(ctx, attachDelay)
	}
	return err
}

// markSuspect excludes an endpoint from selection after an interruption, unless the request itself was canceled or expired.
func (f *Forwarder) markSuspect(ctx context.Context, a *attempt) {
	if ctx.Err() == nil {
		f.Suspect(a.candidate.Member.Name, a.candidate.Incarnation)
	}
}

// handleRejection marks the endpoint as suspect unless the rejection is due to its load, which the load report covers, or to the
// request's key.
func (f *Forwarder) handleRejection(a *attempt) {
	switch a.finalFrame.GetReason() {
	case railproto.Reason_REASON_LIMIT, railproto.Reason_REASON_KEY_REUSED, railproto.Reason_REASON_CLAIM_UNAVAILABLE:
	default:
		f.Suspect(a.candidate.Member.Name, a.candidate.Incarnation)
	}
}

// cancel tells the agent that the caller disconnected, so that it stops the work at the engine.
func (f *Forwarder) cancel(a *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	request := &railproto.CancelRequest{Incarnation: a.candidate.Incarnation, RequestId: a.requestID}
	if _, err := f.Connect(ctx, a.candidate.Member.Address).Cancel(ctx, request); err != nil {
		f.Log.Debug("cancel not delivered; the agent ends the call by itself", "request", a.requestID, "err", err)
	}
}

// isFinalRejection reports whether every endpoint would reject the request for the same reason.
func isFinalRejection(finalFrame *railproto.Frame) bool {
	switch finalFrame.GetReason() {
	case railproto.Reason_REASON_KEY_REUSED, railproto.Reason_REASON_CLAIM_UNAVAILABLE:
		return true
	default:
		return false
	}
}
