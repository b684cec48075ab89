package railquarantine

import (
	"sync/atomic"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
)

// Pass permits one attempt to run a request. Begin has to succeed before the request is sent. Exactly one outcome counts; further calls have
// no effect.
type Pass struct {
	quarantine *Quarantine
	parts      []string
	// suspects holds the parts that make the attempt a trial. It is empty for an ordinary attempt.
	suspects     []string
	isolationKey string
	settled      atomic.Bool
}

// IsolationKey returns the key from which the endpoint of a trial follows, or an empty string for an attempt that may run anywhere.
func (p *Pass) IsolationKey() string {
	return p.isolationKey
}

// Begin begins the attempt. It returns false if the pass would no longer be given: a request that has waited for an endpoint must ask again then.
func (p *Pass) Begin() bool {
	if len(p.parts) == 0 {
		return true
	}
	q := p.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	suspects := q.suspects(p.parts, now)
	if q.quarantinedGroup(p.parts, now) != nil || len(suspects) > 0 && len(p.suspects) == 0 || q.waitsUntil(suspects, now).After(now) {
		return false
	}
	for _, id := range p.suspects {
		q.part(id).trial, q.part(id).trialSince = p, now
	}
	if len(p.suspects) > 0 {
		trialsStarted.Inc()
		q.Log.Info("request runs on trial", "parts", p.parts, "suspects", p.suspects)
	}
	return true
}

// Succeeded records that the request has succeeded: the response is complete, or the engine has gone on with it for a while.
func (p *Pass) Succeeded() {
	p.settle(func(q *Quarantine, now time.Time) {
		for _, id := range p.parts {
			if q.recordSuccess(id, now) {
				q.part(id).unreported = true
				q.notifyChange()
			}
		}
	})
}

// EngineEnded records that the engine ended before the response succeeded.
func (p *Pass) EngineEnded(engine string) {
	p.settle(func(q *Quarantine, now time.Time) {
		q.Log.Warn("engine ended before a response succeeded", "endpoint", engine, "parts", p.parts, "trial", len(p.suspects) > 0)
		q.recordEnd(p.parts, p.end(engine, now))
	})
}

// Broken records that the engine broke off before the response succeeded, though it seems to be there. EngineRestarted tells later if it had ended.
func (p *Pass) Broken(engine string) {
	p.settle(func(q *Quarantine, now time.Time) {
		q.addBreak(brokenAttempt{parts: p.parts, end: p.end(engine, now)}, now)
	})
}

func (p *Pass) end(engine string, at time.Time) end {
	return end{engine: railhash.Score("", engine), at: at, onTrial: len(p.suspects) > 0}
}

// Release ends the attempt without an outcome that says anything about the parts.
func (p *Pass) Release() {
	p.settle(func(*Quarantine, time.Time) {})
}

// Settled reports whether the pass has an outcome.
func (p *Pass) Settled() bool {
	return p.settled.Load()
}

func (p *Pass) settle(record func(q *Quarantine, now time.Time)) {
	if p.settled.Load() || p.settled.Swap(true) || len(p.parts) == 0 {
		return
	}
	q := p.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, id := range p.suspects {
		if part := q.part(id); part.trial == p {
			part.trial = nil
		}
	}
	record(q, time.Now())
	if len(p.suspects) > 0 {
		q.wakeWaiting()
	}
}
