package railexecutor

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/admission/railadmission"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/request/railcall"
	"github.com/fulmarrail/fulmarrail/internal/request/railclaim"
	"github.com/fulmarrail/fulmarrail/internal/request/railregistry"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raildigestset"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	maxTimeout = time.Hour
	// detachGrace is the time for which an idempotent call continues without a follower.
	detachGrace       = 2 * time.Second
	drainPollInterval = 20 * time.Millisecond

	admitted = railproto.Reason_REASON_UNSPECIFIED
)

// errEndpointRefuses means that the endpoint has said, while the request waited for the claim on its key, that it wants no requests, or takes no
// further one before the request's deadline.
var errEndpointRefuses = errors.New("the endpoint asks for no requests")

// Executor runs requests at one endpoint. Its exported fields must be set before first use. It is safe for concurrent use.
type Executor struct {
	Admission *railadmission.Controller
	Calls     *railregistry.Registry
	Endpoint  railendpoint.Endpoint
	Claimer   *railclaim.Claimer
	// Intact holds the digests of weights that are known to be intact.
	Intact *raildigestset.Set
	// AttachRemote follows a request at the agent with the given address.
	AttachRemote func(ctx context.Context, address string, req *railproto.AttachRequest, send func(*railproto.Frame) error) error
	Log          *slog.Logger
}

// Execute admits and runs a request and sends the frames of its response. The request continues to run when ctx is done. Execute
// returns an error if ctx is done or send fails.
func (e *Executor) Execute(ctx context.Context, req *railproto.ExecuteRequest, send func(*railproto.Frame) error) error {
	if req.GetIncarnation() != e.Admission.Incarnation {
		return send(e.rejectionFrame(req.GetRequestId(), railproto.Reason_REASON_WRONG_INCARNATION))
	}
	if existing := e.Calls.Find(req.GetRequestId(), claimRow(req)); existing != nil && railregistry.BlocksKey(existing) {
		return e.followExisting(ctx, existing, req, send)
	}
	inFlight, reason := e.Admission.Admit(ctx, req)
	if reason != admitted {
		return send(e.rejectionFrame(req.GetRequestId(), reason))
	}
	workCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout(req))
	call := &railcall.Call{
		RequestID: req.GetRequestId(), Key: claimRow(req), BodyDigest: railmanifest.Sum(req.GetBody()),
		Idempotent: req.GetIdempotent(), InFlight: inFlight, Cancel: cancel,
	}
	s := &slot{admission: e.Admission}
	handedOver := false
	defer func() {
		if !handedOver {
			defer cancel()
			s.releaseUnsampled()
		}
	}()
	begun, existing := e.Calls.Begin(call)
	if begun == nil {
		cancel()
		s.releaseUnsampled()
		if existing == nil {
			return send(e.rejectionFrame(req.GetRequestId(), railproto.Reason_REASON_REVOKED))
		}
		return e.followExisting(ctx, existing, req, send)
	}
	handedOver = true
	go func() {
		defer cancel()
		e.run(workCtx, call, req, s)
	}()
	return call.Follow(ctx, 0, req.GetRequestId(), send)
}

// Attach follows a request that has already begun. An unknown request is revoked if req asks for it. Attach returns an error if ctx
// is done or send fails.
func (e *Executor) Attach(ctx context.Context, req *railproto.AttachRequest, send func(*railproto.Frame) error) error {
	id := req.GetRequestId()
	if req.GetIncarnation() != e.Admission.Incarnation {
		return send(e.abortedFrame(id, railproto.Reason_REASON_WRONG_INCARNATION))
	}
	call := e.Calls.Find(id, req.GetKey())
	if call == nil && req.GetRevokeUnknown() {
		existing, revoked := e.Calls.Revoke(id, req.GetKey(), time.Duration(req.GetAgeMillis())*time.Millisecond)
		if revoked {
			return send(e.rejectionFrame(id, railproto.Reason_REASON_REVOKED))
		}
		call = existing
	}
	if call == nil {
		return send(e.abortedFrame(id, railproto.Reason_REASON_CLAIM_HELD))
	}
	return call.Follow(ctx, req.GetFromSequence(), id, send)
}

// Cancel cancels an idempotent request whose caller disconnected. Other requests run to completion.
func (e *Executor) Cancel(requestID string) {
	call := e.Calls.Find(requestID, "")
	if call != nil && call.Idempotent {
		call.Cancel()
	}
}

// CancelDetached cancels idempotent calls that have had no follower for detachGrace.
func (e *Executor) CancelDetached(now time.Time) {
	for _, call := range e.Calls.Detached(now, detachGrace) {
		e.Log.Info("canceling a call without followers", "request", call.RequestID)
		call.Cancel()
	}
}

// Drain waits until no call is running and all outcomes, and claims that the store has lost, are written. It returns an error if ctx is done first.
func (e *Executor) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for e.Calls.Running() > 0 || e.Claimer.Rewriting() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Newf("%d calls still run, or lost claims are still to be written", e.Calls.Running())
		}
	}
	outcomesWritten := make(chan struct{})
	go func() {
		e.Claimer.Wait()
		close(outcomesWritten)
	}()
	select {
	case <-outcomesWritten:
		return nil
	case <-ctx.Done():
		return errors.New("outcomes are still to be written")
	}
}

// Interrupt gives each call that still runs its final frame, which says that the call may have run, and waits until the frame has been sent to all
// that follow the call, or ctx is done. Idempotent calls are canceled. It returns the number of interrupted calls.
func (e *Executor) Interrupt(ctx context.Context) int {
	calls := e.Calls.Unended()
	for _, call := range calls {
		call.Append(e.abortedFrame(call.RequestID, railproto.Reason_REASON_LEAVING))
		if call.Idempotent {
			call.Cancel()
		}
	}
	for slices.ContainsFunc(calls, (*railcall.Call).Followed) && railtimer.Sleep(ctx, drainPollInterval) {
	}
	return len(calls)
}

func (e *Executor) followExisting(ctx context.Context, existing *railcall.Call, req *railproto.ExecuteRequest, send func(*railproto.Frame) error) error {
	if existing.BodyDigest != railmanifest.Sum(req.GetBody()) {
		return send(e.rejectionFrame(req.GetRequestId(), railproto.Reason_REASON_KEY_REUSED))
	}
	e.Calls.Alias(req.GetRequestId(), existing)
	return existing.Follow(ctx, 0, req.GetRequestId(), send)
}

func (e *Executor) run(ctx context.Context, call *railcall.Call, req *railproto.ExecuteRequest, s *slot) {
	defer e.Calls.End(call)
	defer e.endPanicked(call, s)
	if call.Key != "" {
		e.runClaimed(ctx, call, req, s)
	} else {
		e.runUnclaimed(ctx, call, req, s)
	}
}

// runUnclaimed runs a request that needs no claim and appends the frames of its response to the call.
func (e *Executor) runUnclaimed(ctx context.Context, call *railcall.Call, req *railproto.ExecuteRequest, s *slot) {
	verdict, err := e.runAtEndpoint(ctx, call, req, s, call.Append)
	if err != nil {
		call.Append(e.failureFrame(call.RequestID, verdict, err))
	}
}

// runAtEndpoint runs the request at the endpoint, emits the frames of its response and releases its admission.
func (e *Executor) runAtEndpoint(ctx context.Context, call *railcall.Call, req *railproto.ExecuteRequest, s *slot, emit func(*railproto.Frame)) (railverdict.Verdict, error) {
	if !e.Admission.AwaitSend(ctx) || e.Admission.EngineRefuses() {
		s.releaseUnsampled()
		return railverdict.NotRun, errEndpointRefuses
	}
	start := time.Now()
	var timing responseTiming
	emit(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_ACCEPTED, Load: e.Admission.Load()})
	var endFrame *railproto.Frame
	s.mayHaveRun = true
	verdict, err := e.runIntact(ctx, req, func(frame *railproto.Frame) {
		timing.record(frame, time.Since(start))
		if frame.GetKind() == railproto.FrameKind_FRAME_KIND_END {
			endFrame = frame
			return
		}
		emit(frame)
	})
	if err == nil && endFrame == nil {
		verdict, err = railverdict.MayHaveRun, railendpoint.ErrTruncated
	}
	switch {
	case isPanic(err):
		s.releaseUnsampled() // It says nothing about the endpoint.
	case err == nil || ctx.Err() == nil:
		s.release(call.InFlight, timing.firstPart, timing.meanInterval(), err == nil)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		s.releaseExpired(time.Since(start), timing.firstPart, timing.meanInterval())
	default:
		s.releaseUnsampled()
	}
	if err != nil {
		return verdict, err
	}
	endFrame.Load = e.Admission.Load()
	emit(endFrame)
	return verdict, nil
}

func (e *Executor) failureFrame(requestID string, verdict railverdict.Verdict, err error) *railproto.Frame {
	reason := railproto.Reason_REASON_ENDPOINT_FAILED
	var ended *railendpoint.EndedError
	switch {
	case errors.As(err, &ended):
		reason = railproto.Reason_REASON_ENDPOINT_ENDED
	case errors.Is(err, railendpoint.ErrMixedWeights):
		reason = railproto.Reason_REASON_MIXED_WEIGHTS
	case errors.Is(err, railendpoint.ErrUnknownWeights):
		reason = railproto.Reason_REASON_NO_WEIGHTS
	case errors.Is(err, context.Canceled):
		reason = railproto.Reason_REASON_CANCELLED
	case errors.Is(err, context.DeadlineExceeded):
		reason = railproto.Reason_REASON_DEADLINE
	}
	if verdict == railverdict.NotRun {
		frame := e.rejectionFrame(requestID, railproto.Reason_REASON_ENDPOINT_REFUSED)
		frame.Detail = strings.ToValidUTF8(err.Error(), "?")
		return frame
	}
	e.Log.Warn("request failed at the endpoint", "request", requestID, "err", err)
	frame := e.abortedFrame(requestID, reason)
	frame.Detail = detail(err)
	if ended != nil {
		frame.EndedIncarnation = ended.Incarnation
	}
	return frame
}

// rejectionFrame returns a frame that proves that the request has not run here and never will.
func (e *Executor) rejectionFrame(requestID string, reason railproto.Reason) *railproto.Frame {
	metrics.GetOrCreateCounter(fmt.Sprintf(`fulmarrail_refusals_total{service=%q,reason=%q}`, e.Admission.Service, reason)).Inc()
	return e.newFinalFrame(requestID, railproto.FrameKind_FRAME_KIND_REFUSED, reason)
}

// abortedFrame returns a frame that states that the request may have run.
func (e *Executor) abortedFrame(requestID string, reason railproto.Reason) *railproto.Frame {
	frame := e.newFinalFrame(requestID, railproto.FrameKind_FRAME_KIND_ABORTED, reason)
	frame.MayHaveRun = true
	return frame
}

func (e *Executor) newFinalFrame(requestID string, kind railproto.FrameKind, reason railproto.Reason) *railproto.Frame {
	return &railproto.Frame{
		RequestId: requestID, Kind: kind, Reason: reason, Load: e.Admission.Load(), Revision: e.Admission.Config.Number(),
	}
}

// claimRow returns the name of the row to claim for a request that must run at most once across all agents, or an empty string if
// no claim is needed.
func claimRow(req *railproto.ExecuteRequest) string {
	if req.GetIdempotent() || req.GetKey() == "" {
		return ""
	}
	return railclaim.RowName(req.GetService(), req.GetCustomer(), req.GetKey())
}

func requestTimeout(req *railproto.ExecuteRequest) time.Duration {
	timeout := time.Duration(req.GetTimeoutMillis()) * time.Millisecond
	if timeout <= 0 || timeout > maxTimeout {
		return maxTimeout
	}
	return timeout
}
