package railforwarder

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/retry/railbudget"
	"github.com/fulmarrail/fulmarrail/internal/routing/railcandidate"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// maxAttempts bounds the attempts of one request; those that found no room are bounded by its deadline only.
	maxAttempts = 64
	// attachAttempts is the number of times that a cut answer is asked for again.
	attachAttempts = 3
	attachPause    = 100 * time.Millisecond
	// attachGrace is the time for which the outcome is asked for after the deadline.
	attachGrace   = time.Second
	refusalPause  = 5 * time.Millisecond
	cancelTimeout = time.Second
)

var (
	// ErrCallerDisconnected means that an answer could not be handed on.
	ErrCallerDisconnected = errors.New("the caller has left")
	errCut                = errors.New("the answer was cut")
	errRefused            = errors.New("the request was refused")
	errAborted            = errors.New("the request was aborted")
)

// Forwarder forwards requests; its fields are set before its first use.
type Forwarder struct {
	// Acquire waits for an endpoint with room; its errors mean that the request was not run. A request that is back from
	// an endpoint without room keeps its place.
	Acquire func(ctx context.Context, req railrequest.Request, back bool) (railcandidate.Candidate, error)
	// Connect returns a client of the agent at an address.
	Connect func(ctx context.Context, address string) railproto.DRPCAgentClient
	// UpdateLoad takes a load report; Suspect takes an endpoint out of the choice until it is heard of again.
	UpdateLoad func(name, incarnation string, load *railproto.Load)
	Suspect    func(name, incarnation string)
	// RecordDecision notes that an endpoint's agent has admitted or refused a request.
	RecordDecision func(name string)
	// RecordCompletion takes the time of each whole answer from the choice of its endpoint on.
	RecordCompletion func(priority int, took time.Duration)
	// Revision returns the number of the revision in force.
	Revision func() uint64
	Budget   *railbudget.Budget
	// RetryShare is the share of a retry that each success earns.
	RetryShare func() float64
	Log        *slog.Logger
}

// attempt is the state of one attempt at one agent's incarnation.
type attempt struct {
	candidate railcandidate.Candidate
	id        string
	began     time.Time
	next      uint64
	delivered int
	weights   string
	last      *railproto.Frame
	settled   bool
}

// Forward runs a request and hands the data frames and the end frame of the whole answer to sink; the frame that it
// returns is the last one of the last attempt, and says why with a verdict other than Ran.
func (f *Forwarder) Forward(ctx context.Context, req railrequest.Request, sink func(endpoint string, frame *railproto.Frame) error) (railverdict.Verdict, *railproto.Frame, error) {
	verdict := railverdict.NotRun
	var last *railproto.Frame
	for n, failed := 0, 0; failed < maxAttempts; n++ {
		candidate, err := f.Acquire(ctx, req, last.GetReason() == railproto.Reason_REASON_LIMIT)
		if err != nil {
			return verdict, last, err
		}
		a := &attempt{candidate: candidate, began: time.Now()}
		outcome, err := f.try(ctx, req, n, a, sink)
		f.settle(a)
		last = a.last
		if last.GetReason() != railproto.Reason_REASON_LIMIT {
			failed++
		}
		switch {
		case outcome == railverdict.Ran:
			f.Budget.Deposit(f.RetryShare())
			f.RecordCompletion(req.Priority, time.Since(a.began))
			return outcome, last, nil
		case errors.Is(err, ErrCallerDisconnected), ctx.Err() != nil:
			return max(verdict, outcome), last, err
		case a.delivered > 0:
			// Parts of one attempt's answer must never be joined with those of another's.
			return railverdict.MayHaveRun, last, err
		case outcome == railverdict.NotRun && final(last):
			return verdict, last, err
		case outcome == railverdict.MayHaveRun:
			verdict = railverdict.MayHaveRun
			if !verdict.Retryable(req.Idempotent) || !f.Budget.TryWithdraw() {
				return verdict, last, err
			}
			metrics.GetOrCreateCounter(fmt.Sprintf(`fulmarrail_retries_total{service=%q}`, req.Service)).Inc()
			f.Log.Info("request retried", "request", req.ID, "after", candidate.Member.Name, "err", err)
		}
		railtimer.Sleep(ctx, refusalPause)
	}
	return verdict, last, errors.New("every attempt was refused")
}

// try makes one attempt; the verdict is for this attempt alone.
func (f *Forwarder) try(ctx context.Context, req railrequest.Request, n int, a *attempt, sink func(string, *railproto.Frame) error) (railverdict.Verdict, error) {
	name, incarnation := a.candidate.Member.Name, a.candidate.Incarnation
	message := req.AttemptMessage(n, incarnation, f.Revision(), time.Now())
	a.id = message.GetRequestId()
	verdict := railverdict.NotRun
	stream, err := f.Connect(ctx, a.candidate.Member.Address).Execute(ctx, message)
	if err != nil && errors.Is(err, raildialer.ErrDial) {
		f.suspect(ctx, a)
		return verdict, err
	}
	verdict = verdict.AfterSend()
	if err == nil {
		err = f.receive(a, stream.Recv, sink)
		_ = stream.Close()
	}
	if errors.Is(err, errCut) || a.last == nil && err != nil && !errors.Is(err, ErrCallerDisconnected) {
		f.suspect(ctx, a)
		err = f.follow(ctx, req, a, sink, err)
	}
	if a.last != nil {
		f.UpdateLoad(name, incarnation, a.last.GetLoad())
	}
	switch {
	case err == nil:
		return railverdict.Ran, nil
	case errors.Is(err, errRefused):
		f.noteRefusal(a)
		return railverdict.NotRun, err
	case errors.Is(err, ErrCallerDisconnected):
		f.cancel(a)
	}
	return verdict, err
}

// follow asks the same incarnation for the rest of a cut answer; an unknown request is revoked there, which proves
// that it has not run.
func (f *Forwarder) follow(ctx context.Context, req railrequest.Request, a *attempt, sink func(string, *railproto.Frame) error, err error) error {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline.Add(attachGrace))
	defer cancel()
	for range attachAttempts {
		stream, dialErr := f.Connect(ctx, a.candidate.Member.Address).Attach(ctx, &railproto.AttachRequest{
			Incarnation: a.candidate.Incarnation, RequestId: a.id, FromSequence: a.next,
			RevokeUnknown: true, AgeMillis: time.Since(a.began).Milliseconds() + 1,
		})
		if dialErr == nil {
			err = f.receive(a, stream.Recv, sink)
			_ = stream.Close()
		}
		if dialErr == nil && !errors.Is(err, errCut) || ctx.Err() != nil {
			return err
		}
		railtimer.Sleep(ctx, attachPause)
	}
	return err
}

// receive takes frames in their order until the last one; a frame of another request or out of order cuts the answer.
func (f *Forwarder) receive(a *attempt, recv func() (*railproto.Frame, error), sink func(string, *railproto.Frame) error) error {
	for {
		frame, err := recv()
		if err != nil {
			return errors.Mark(errors.Wrap(err, "receive the answer"), errCut)
		}
		if frame.GetRequestId() != a.id {
			return errors.Mark(errors.Newf("a frame of request %q came for %q", frame.GetRequestId(), a.id), errCut)
		}
		f.settle(a)
		if done, err := f.accept(a, frame, sink); done || err != nil {
			return err
		}
	}
}

// accept checks one frame and hands it on; it reports whether it was the last one.
func (f *Forwarder) accept(a *attempt, frame *railproto.Frame, sink func(string, *railproto.Frame) error) (bool, error) {
	switch frame.GetKind() {
	case railproto.FrameKind_FRAME_KIND_REFUSED:
		a.last = frame
		return true, errors.Wrapf(errRefused, "%s %s", frame.GetReason(), frame.GetDetail())
	case railproto.FrameKind_FRAME_KIND_ABORTED:
		a.last = frame
		return true, errors.Wrapf(errAborted, "%s %s", frame.GetReason(), frame.GetDetail())
	case railproto.FrameKind_FRAME_KIND_ACCEPTED, railproto.FrameKind_FRAME_KIND_DATA, railproto.FrameKind_FRAME_KIND_END:
	default:
		return true, errors.Mark(errors.Newf("a frame of the unknown kind %d came", frame.GetKind()), errCut)
	}
	if frame.GetSequence() != a.next {
		return true, errors.Mark(errors.Newf("frame %d came in place of %d", frame.GetSequence(), a.next), errCut)
	}
	a.next++
	if frame.GetKind() == railproto.FrameKind_FRAME_KIND_ACCEPTED {
		f.UpdateLoad(a.candidate.Member.Name, a.candidate.Incarnation, frame.GetLoad())
		return false, nil
	}
	if a.weights == "" {
		a.weights = frame.GetWeightsDigest()
	}
	if frame.GetWeightsDigest() != a.weights {
		return true, errors.Wrap(errAborted, "the weights changed during the answer")
	}
	end := frame.GetKind() == railproto.FrameKind_FRAME_KIND_END
	if end && frame.GetCount() != uint64(a.delivered) {
		return true, errors.Wrapf(errAborted, "%d of %d parts of the answer came", a.delivered, frame.GetCount())
	}
	if !end {
		a.delivered++
	}
	if err := sink(a.candidate.Member.Name, frame); err != nil {
		return true, errors.Mark(err, ErrCallerDisconnected)
	}
	if end {
		a.last = frame
	}
	return end, nil
}

// settle notes once that an attempt does not wait for its admission any more.
func (f *Forwarder) settle(a *attempt) {
	if !a.settled {
		a.settled = true
		f.RecordDecision(a.candidate.Member.Name)
	}
}

// suspect takes an endpoint out of the choice after a cut that the request's own end does not explain.
func (f *Forwarder) suspect(ctx context.Context, a *attempt) {
	if ctx.Err() == nil {
		f.Suspect(a.candidate.Member.Name, a.candidate.Incarnation)
	}
}

// noteRefusal learns from a refusal other than one for load, which its report covers.
func (f *Forwarder) noteRefusal(a *attempt) {
	switch a.last.GetReason() {
	case railproto.Reason_REASON_LIMIT, railproto.Reason_REASON_KEY_REUSED, railproto.Reason_REASON_CLAIM_UNAVAILABLE:
	default:
		f.Suspect(a.candidate.Member.Name, a.candidate.Incarnation)
	}
}

// cancel tells the agent that the caller has left, so that the engine's work ends.
func (f *Forwarder) cancel(a *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	request := &railproto.CancelRequest{Incarnation: a.candidate.Incarnation, RequestId: a.id}
	if _, err := f.Connect(ctx, a.candidate.Member.Address).Cancel(ctx, request); err != nil {
		f.Log.Debug("cancel not delivered, the agent ends the call by itself", "request", a.id, "err", err)
	}
}

// final reports whether a refusal holds at every endpoint.
func final(last *railproto.Frame) bool {
	switch last.GetReason() {
	case railproto.Reason_REASON_KEY_REUSED, railproto.Reason_REASON_CLAIM_UNAVAILABLE:
		return true
	default:
		return false
	}
}
