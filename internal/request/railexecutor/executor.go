package railexecutor

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/admission/railgate"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/request/railcall"
	"github.com/fulmarrail/fulmarrail/internal/request/railclaim"
	"github.com/fulmarrail/fulmarrail/internal/request/railjournal"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	maxTimeout = time.Hour
	// detachGrace is the time that a repeatable call runs on with nobody following it.
	detachGrace = 2 * time.Second
	drainCheck  = 20 * time.Millisecond

	admitted = railproto.Reason_REASON_UNSPECIFIED
)

// Executor runs requests; its fields are set before its first use.
type Executor struct {
	Admission *railgate.Controller
	Calls     *railjournal.Registry
	Endpoint  railendpoint.Endpoint
	Claimer   *railclaim.Claimer
	// AttachRemote follows a request at another agent.
	AttachRemote func(ctx context.Context, address string, req *railproto.AttachRequest, send func(*railproto.Frame) error) error
	Log          *slog.Logger
}

// Execute admits and runs a request and sends the frames of its answer; the work does not end with ctx.
func (e *Executor) Execute(ctx context.Context, req *railproto.ExecuteRequest, send func(*railproto.Frame) error) error {
	if req.GetIncarnation() != e.Admission.Incarnation {
		return send(e.refusal(req.GetRequestId(), railproto.Reason_REASON_WRONG_INCARNATION))
	}
	if standing := e.Calls.Find(req.GetRequestId(), ownKey(req)); standing != nil && railjournal.BlocksKey(standing) {
		return e.followStanding(ctx, standing, req, send)
	}
	together, reason := e.Admission.Admit(ctx, req)
	if reason != admitted {
		return send(e.refusal(req.GetRequestId(), reason))
	}
	work, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeoutOf(req))
	call := &railcall.Call{
		RequestID: req.GetRequestId(), Key: ownKey(req), BodyDigest: railmanifest.Sum(req.GetBody()),
		Idempotent: req.GetIdempotent(), InFlight: together, Cancel: cancel,
	}
	begun, standing := e.Calls.Begin(call)
	if begun == nil {
		cancel()
		e.Admission.ReleaseUnsampled()
		if standing == nil {
			return send(e.refusal(req.GetRequestId(), railproto.Reason_REASON_REVOKED))
		}
		return e.followStanding(ctx, standing, req, send)
	}
	go func() {
		defer cancel()
		e.run(work, call, req)
	}()
	return call.Follow(ctx, 0, req.GetRequestId(), send)
}

// Attach follows a request that began before; an unknown one is revoked when the caller asks for it.
func (e *Executor) Attach(ctx context.Context, req *railproto.AttachRequest, send func(*railproto.Frame) error) error {
	id := req.GetRequestId()
	if req.GetIncarnation() != e.Admission.Incarnation {
		return send(e.unclear(id, railproto.Reason_REASON_WRONG_INCARNATION))
	}
	call := e.Calls.Find(id, req.GetKey())
	if call == nil && req.GetRevokeUnknown() {
		standing, never := e.Calls.Revoke(id, req.GetKey(), time.Duration(req.GetAgeMillis())*time.Millisecond)
		if never {
			return send(e.refusal(id, railproto.Reason_REASON_REVOKED))
		}
		call = standing
	}
	if call == nil {
		return send(e.unclear(id, railproto.Reason_REASON_CLAIM_HELD))
	}
	return call.Follow(ctx, req.GetFromSequence(), id, send)
}

// Cancel ends a repeatable request whose caller has left; others run to their end.
func (e *Executor) Cancel(requestID string) {
	call := e.Calls.Find(requestID, "")
	if call != nil && call.Idempotent {
		call.Cancel()
	}
}

// CancelDetached cancels the repeatable calls that nobody has followed for a while.
func (e *Executor) CancelDetached(now time.Time) {
	for _, call := range e.Calls.Detached(now, detachGrace) {
		e.Log.Info("call ended, nobody follows it", "request", call.RequestID)
		call.Cancel()
	}
}

// Drain waits until no call runs and all outcomes are written, or ctx is done.
func (e *Executor) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	for e.Calls.Running() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Newf("%d calls still run", e.Calls.Running())
		}
	}
	written := make(chan struct{})
	go func() {
		e.Claimer.Wait()
		close(written)
	}()
	select {
	case <-written:
		return nil
	case <-ctx.Done():
		return errors.New("outcomes are still to be written")
	}
}

func (e *Executor) followStanding(ctx context.Context, standing *railcall.Call, req *railproto.ExecuteRequest, send func(*railproto.Frame) error) error {
	if standing.BodyDigest != railmanifest.Sum(req.GetBody()) {
		return send(e.refusal(req.GetRequestId(), railproto.Reason_REASON_KEY_REUSED))
	}
	e.Calls.Alias(req.GetRequestId(), standing)
	return standing.Follow(ctx, 0, req.GetRequestId(), send)
}

func (e *Executor) run(ctx context.Context, call *railcall.Call, req *railproto.ExecuteRequest) {
	if call.Key != "" {
		e.runClaimed(ctx, call, req)
	} else {
		e.runOnce(ctx, call, req)
	}
	e.Calls.End(call)
}

// runOnce passes the request to the endpoint and appends the frames of its answer.
func (e *Executor) runOnce(ctx context.Context, call *railcall.Call, req *railproto.ExecuteRequest) {
	verdict, err := e.pass(ctx, call, req, call.Append)
	if err != nil {
		call.Append(e.failure(call.RequestID, verdict, err))
	}
}

// pass hands the request to the endpoint and gives its admission back.
func (e *Executor) pass(ctx context.Context, call *railcall.Call, req *railproto.ExecuteRequest, emit func(*railproto.Frame)) (railverdict.Verdict, error) {
	began := time.Now()
	var pace pace
	emit(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_ACCEPTED, Load: e.Admission.Limiter.Load()})
	var end *railproto.Frame
	verdict, err := e.Endpoint.Run(ctx, req, func(f *railproto.Frame) {
		pace.note(f, time.Since(began))
		if f.GetKind() == railproto.FrameKind_FRAME_KIND_END {
			end = f
			return
		}
		emit(f)
	})
	if err == nil && end == nil {
		verdict, err = railverdict.MayHaveRun, railendpoint.ErrTruncated
	}
	switch {
	case err == nil || ctx.Err() == nil:
		e.Admission.Release(call.InFlight, pace.first, pace.between(), err == nil)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Admission.ReleaseExpired(time.Since(began), pace.first, pace.between())
	default:
		e.Admission.ReleaseUnsampled()
	}
	if err != nil {
		return verdict, err
	}
	end.Load = e.Admission.Limiter.Load()
	emit(end)
	return verdict, nil
}

func (e *Executor) failure(requestID string, verdict railverdict.Verdict, err error) *railproto.Frame {
	reason := railproto.Reason_REASON_ENDPOINT_FAILED
	switch {
	case errors.Is(err, railendpoint.ErrMixedWeights):
		reason = railproto.Reason_REASON_MIXED_WEIGHTS
	case errors.Is(err, context.Canceled):
		reason = railproto.Reason_REASON_CANCELLED
	case errors.Is(err, context.DeadlineExceeded):
		reason = railproto.Reason_REASON_DEADLINE
	}
	if verdict == railverdict.NotRun {
		f := e.refusal(requestID, railproto.Reason_REASON_ENDPOINT_REFUSED)
		f.Detail = err.Error()
		return f
	}
	e.Log.Warn("call failed at the endpoint", "request", requestID, "err", err)
	f := e.unclear(requestID, reason)
	f.Detail = err.Error()
	return f
}

// refusal is a proof that the request has not run here and never will.
func (e *Executor) refusal(requestID string, reason railproto.Reason) *railproto.Frame {
	metrics.GetOrCreateCounter(fmt.Sprintf(`fulmarrail_refusals_total{service=%q,reason=%q}`, e.Admission.Service, reason)).Inc()
	return e.verdictFrame(requestID, railproto.FrameKind_FRAME_KIND_REFUSED, reason)
}

// unclear says that the request may have run.
func (e *Executor) unclear(requestID string, reason railproto.Reason) *railproto.Frame {
	f := e.verdictFrame(requestID, railproto.FrameKind_FRAME_KIND_ABORTED, reason)
	f.MayHaveRun = true
	return f
}

func (e *Executor) verdictFrame(requestID string, kind railproto.FrameKind, reason railproto.Reason) *railproto.Frame {
	return &railproto.Frame{
		RequestId: requestID, Kind: kind, Reason: reason, Load: e.Admission.Limiter.Load(), Revision: e.Admission.Config.Number(),
	}
}

// ownKey returns the name under which a request must run at most once across all agents, or an empty string.
func ownKey(req *railproto.ExecuteRequest) string {
	if req.GetIdempotent() || req.GetKey() == "" {
		return ""
	}
	return railclaim.RowName(req.GetService(), req.GetCustomer(), req.GetKey())
}

func timeoutOf(req *railproto.ExecuteRequest) time.Duration {
	timeout := time.Duration(req.GetTimeoutMillis()) * time.Millisecond
	if timeout <= 0 || timeout > maxTimeout {
		return maxTimeout
	}
	return timeout
}
