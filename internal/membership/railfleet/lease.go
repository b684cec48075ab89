package railfleet

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/limit/railpass"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
)

// Outcome says how an endpoint did with a request.
type Outcome uint8

const (
	// Answered means that the endpoint's answer came whole, or that the caller's side ended it.
	Answered Outcome = iota
	// Refused means that the endpoint has not run the request, as it said.
	Refused
	// Misdirected means that another endpoint is there, or other weights.
	Misdirected
	// Failed means that the endpoint did not answer as it should.
	Failed
)

// Lease is the place of one request at an endpoint.
type Lease struct {
	Instance railinstance.Instance
	// Predicted is the time in which the answer was predicted to begin.
	PredictedDelay time.Duration
	// BeginBy is the time by which the answer has to begin, or zero for no such time: then that of the endpoint's weights is over.
	StartBy time.Time
	// Load is what was in flight at the endpoint, from all entries, when the place was given.
	Load railpass.Load

	fleet   *Fleet
	at      *endpoint
	part    railpass.Load
	granted time.Time
	// begun and done are guarded by the fleet's mutex.
	begun, done bool
}

func (f *Fleet) lease(e *endpoint, need Requirements, predicted time.Duration, now time.Time) *Lease {
	l := &Lease{Instance: e.Instance, PredictedDelay: predicted, fleet: f, at: e, part: railpass.Load{Running: 1}, granted: now, Load: e.load.Add(f.elsewhere(e.hash))}
	if engine := need.Backend.Engine; engine != nil {
		if e.WeightsVersion < need.DueVersion {
			l.StartBy = need.DueAt.Add(-beginMargin - engine.Timing.LongestPass(engine.Slots))
		}
		l.part.PendingPrefill = engine.Timing.ReadTime(need.PromptTokens)
	}
	e.load = e.load.Add(l.part)
	e.window.Add(now)
	f.tellOf(e)
	f.once.Do(f.init)
	select {
	case f.news <- struct{}{}:
	default:
	}
	return l
}

// Started notes that the answer has begun.
func (l *Lease) Started() {
	if l.begin() {
		l.fleet.OnChange()
	}
}

// Done gives the place back.
func (l *Lease) Done(outcome Outcome) {
	if l.end(outcome) {
		l.fleet.OnChange()
	}
}

func (l *Lease) begin() bool {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.begun || l.done {
		return false
	}
	l.begun = true
	l.at.load.PendingPrefill -= l.part.PendingPrefill
	l.at.learn(l.PredictedDelay, time.Since(l.granted))
	l.at.strikes = 0
	f.tellOf(l.at)
	return true
}

func (l *Lease) end(outcome Outcome) bool {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.done {
		return false
	}
	l.done = true
	if !l.begun {
		l.at.load.PendingPrefill -= l.part.PendingPrefill
	}
	l.at.load.Running--
	l.at.settle(outcome, time.Now())
	f.tellOf(l.at)
	return true
}
