package railfleet

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/limit/railenginelatency"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
)

// Outcome is the result of a request at an endpoint.
type Outcome uint8

const (
	// Answered means that the response was complete, or that the caller ended the request.
	Answered Outcome = iota
	// Rejected means that the endpoint reported that it has not run the request.
	Rejected
	// Misdirected means that the address belongs to another endpoint, or that the endpoint has other weights.
	Misdirected
	// Failed means that the endpoint did not respond correctly.
	Failed
)

// Lease counts one request as in flight at an endpoint until Done is called.
type Lease struct {
	Instance railinstance.Instance
	// PredictedDelay is the predicted time from the grant to the start of the response.
	PredictedDelay time.Duration
	// StartBy is the time by which the response has to start because the endpoint's weights are due to be replaced, or zero for no
	// limit.
	StartBy time.Time
	// Load is the load at the endpoint from all entries when the lease was granted, without this request.
	Load railenginelatency.Load
	// NoticeAge is the age of the carrier's notice that decided on the endpoint's weights version, or 0 if the list did.
	NoticeAge time.Duration

	fleet    *Fleet
	endpoint *endpoint
	// report is the instance's report. endpoint's other fields are guarded by the fleet's mutex.
	report      *reportSlot
	requestLoad railenginelatency.Load
	grantedAt   time.Time
	// started and done are guarded by the fleet's mutex.
	started, done bool
}

func (f *Fleet) newLease(e *endpoint, req Requirements, predicted time.Duration, now time.Time) *Lease {
	l := &Lease{Instance: e.Instance, PredictedDelay: predicted, fleet: f, endpoint: e, report: e.report, requestLoad: railenginelatency.Load{Running: 1}, grantedAt: now, Load: e.ownLoad.Add(f.peersLoad(e.hash))}
	if e.noticed {
		l.NoticeAge = now.Sub(e.noticedAt)
	}
	if engine := req.Backend.Engine; engine != nil {
		if e.WeightsVersion < req.DueVersion {
			l.StartBy = req.DueAt.Add(-startMargin - engine.Timing.MaxPassTime(engine.Slots))
		}
		l.requestLoad.PendingPrefill = engine.Timing.PrefillTime(req.PromptTokens)
	}
	f.logResumption(e, now)
	e.ownLoad = e.ownLoad.Add(l.requestLoad)
	e.recentSends.Add(now)
	f.countSend(e, now)
	f.markChanged(e)
	f.signalIncrease()
	return l
}

// StartWithin returns the time from the grant to StartBy, or 0 for no limit.
func (l *Lease) StartWithin() time.Duration {
	if l.StartBy.IsZero() {
		return 0
	}
	return l.StartBy.Sub(l.grantedAt)
}

// Started records that the response has started.
func (l *Lease) Started() {
	if l.markStarted() {
		l.fleet.OnChange()
	}
}

// Done releases the lease and records the outcome of the request. Further calls have no effect.
func (l *Lease) Done(outcome Outcome) {
	if !l.release(outcome) {
		return
	}
	if outcome == Failed || outcome == Misdirected {
		l.reportFailure()
	}
	l.fleet.OnChange()
}

// Silent records that the endpoint has not gone on with the request for longer than usual. The request stays there, but for some time
// others are sent elsewhere, as after a failure.
func (l *Lease) Silent() {
	if l.markSilent() {
		l.reportFailure()
	}
}

func (l *Lease) markSilent() bool {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !l.done {
		l.endpoint.recordOutcome(Failed, time.Now())
	}
	return !l.done
}

func (l *Lease) reportFailure() {
	if l.fleet.OnFailure != nil {
		l.fleet.OnFailure(l.Instance.Address)
	}
}

func (l *Lease) markStarted() bool {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.started || l.done {
		return false
	}
	l.started = true
	l.endpoint.ownLoad.PendingPrefill -= l.requestLoad.PendingPrefill
	now := time.Now()
	l.endpoint.recordStart(l.PredictedDelay, now.Sub(l.grantedAt), now)
	l.endpoint.failures = 0
	f.markChanged(l.endpoint)
	return true
}

func (l *Lease) release(outcome Outcome) bool {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.done {
		return false
	}
	l.done = true
	if !l.started {
		l.endpoint.ownLoad.PendingPrefill -= l.requestLoad.PendingPrefill
	}
	l.endpoint.ownLoad.Running--
	l.endpoint.recordOutcome(outcome, time.Now())
	f.markChanged(l.endpoint)
	return true
}
