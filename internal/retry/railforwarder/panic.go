package railforwarder

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// The kinds of work in which a panic is contained.
const (
	unitAdmission = "admission"
	unitAttempt   = "attempt"
)

// errFailed means that the work on a request has panicked. It is not tried again, since it would panic at the next endpoint too.
var errFailed = errors.New("the entry has failed on this request")

// admitContained is admitAttempt. A panic means that the request was not run.
func (f *Forwarder) admitContained(ctx context.Context, req railrequest.Request, requeue bool) (a *attempt, err error) {
	defer func() {
		if railpanic.Recovered(recover(), f.Log, unitAdmission, "request", req.ID) != nil {
			a, err = nil, errFailed
		}
	}()
	return f.admitAttempt(ctx, req, requeue)
}

// runContained makes one attempt, and records what it says about its endpoint and the request's shared parts. After a panic, the request may have
// run if it has been sent.
func (f *Forwarder) runContained(ctx context.Context, req railrequest.Request, attemptNumber int, a *attempt, deliver func(string, *railproto.Frame) error) (outcome railverdict.Verdict, err error) {
	defer func() {
		if railpanic.Recovered(recover(), f.Log, unitAttempt, "request", req.ID, "endpoint", a.candidate.Member.Name) == nil {
			return
		}
		outcome, err = railverdict.NotRun, errFailed
		if a.sent {
			outcome = railverdict.MayHaveRun
		}
	}()
	defer a.settle()
	defer f.recordDecisionOnce(a)
	return f.runAttempt(ctx, req, attemptNumber, a, deliver)
}
