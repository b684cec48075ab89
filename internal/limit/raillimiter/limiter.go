package raillimiter

import (
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	cutFactor      = 0.5
	averageWeight  = 0.1
	jumpFactor     = 2.5
	samplesToJudge = 16
	cutPause       = 100 * time.Millisecond
	// proofWindow is the time for which a number of requests at once counts as borne after a success with it.
	proofWindow = time.Second
	// proofStep is the number of requests at once over the proven ones that may be tried.
	proofStep = 1
)

// Limiter admits requests up to a limit that starts at the cold limit, grows with successful work and is cut
// when the time to the first token exceeds its target.
type Limiter struct {
	// ColdLimit and MaxLimit bound the limit, in requests at once.
	ColdLimit, MaxLimit int
	// WarmAfter is the number of answers before which the limit does not reach MaxLimit after a cold start.
	WarmAfter int
	// FirstTokenTarget is the longest time to the first token of healthy work.
	FirstTokenTarget time.Duration

	mu      sync.Mutex
	running int
	limit   float64
	average time.Duration
	// averageBetween is the moving mean of the time between tokens.
	averageBetween time.Duration
	samples        int
	lastCut        time.Time

	// proven and provenBefore are the most requests at once with which one succeeded in this window and the last one.
	proven, provenBefore int
	windowAt             time.Time
}

// Configure changes the bounds, as a new revision does.
func (l *Limiter) Configure(coldLimit, maxLimit, warmAfter int, target time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ColdLimit, l.MaxLimit, l.WarmAfter, l.FirstTokenTarget = coldLimit, maxLimit, warmAfter, target
	l.limit = min(max(l.limit, float64(coldLimit)), float64(maxLimit))
}

// TryAcquire admits one request and returns the number of requests at once with it, or reports false when the limit is
// reached.
func (l *Limiter) TryAcquire() (together int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running >= l.allowed() {
		return 0, false
	}
	l.running++
	return l.running, true
}

// Release ends a request that was admitted with a number of others, with its time to the first token and the mean time
// between tokens, 0 where there were none; ok is false for a failed one.
func (l *Limiter) Release(together int, firstToken, betweenTokens time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	saturated := l.running >= l.current()
	jumped := l.jumped(firstToken, betweenTokens)
	if ok && firstToken <= l.FirstTokenTarget && !jumped {
		l.prove(together)
	}
	l.running--
	switch {
	case !ok:
		l.cut()
	case jumped:
		l.reset()
	case firstToken > l.FirstTokenTarget:
		l.cut()
	case saturated:
		l.limit = min(max(l.limit, float64(l.ColdLimit))+l.growth(), float64(l.MaxLimit))
	}
	if ok && !jumped {
		l.observe(firstToken, betweenTokens)
	}
}

// ReleaseExpired ends a request that its caller's deadline cut off after the given time. A short deadline says nothing about the
// endpoint; a first token that is late or a pace that has dropped does.
func (l *Limiter) ReleaseExpired(waited, firstToken, betweenTokens time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	switch {
	case l.jumped(firstToken, betweenTokens):
		l.reset()
	case firstToken > l.FirstTokenTarget, firstToken == 0 && waited > l.FirstTokenTarget:
		l.cut()
	}
}

// ReleaseUnsampled ends an admitted request that never reached the endpoint.
func (l *Limiter) ReleaseUnsampled() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
}

// Reset returns the limit to the cold limit, as after a restart or a change of weights.
func (l *Limiter) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
}

// Load returns the running requests and the limit.
func (l *Limiter) Load() *railproto.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.allowed()
	return &railproto.Load{Running: int32(l.running), Limit: int32(limit), Cold: limit <= l.ColdLimit}
}

func (l *Limiter) current() int {
	return max(int(l.limit), l.ColdLimit)
}

// allowed is the limit as far as lately proven numbers of requests at once support it: an endpoint that has been idle may
// have turned cold unnoticed, and a burst must not be what finds out.
func (l *Limiter) allowed() int {
	l.rotate()
	return min(l.current(), max(l.proven, l.provenBefore)+proofStep, l.MaxLimit)
}

func (l *Limiter) prove(together int) {
	l.rotate()
	l.proven = max(l.proven, together)
}

// rotate begins a new window of proof when the last one is over; the cold limit needs no proof.
func (l *Limiter) rotate() {
	floor := l.ColdLimit - proofStep
	now := time.Now()
	switch passed := now.Sub(l.windowAt); {
	case passed < proofWindow:
	case passed < 2*proofWindow:
		l.provenBefore, l.proven, l.windowAt = l.proven, 0, now
	default:
		l.provenBefore, l.proven, l.windowAt = 0, 0, now
	}
	l.provenBefore = max(l.provenBefore, floor)
}

// growth adds one request to the limit for each limit's worth of successes, and no more than a warming endpoint bears.
func (l *Limiter) growth() float64 {
	step := 1 / float64(l.current())
	if l.WarmAfter <= 0 {
		return step
	}
	return min(step, float64(l.MaxLimit-l.ColdLimit)/float64(l.WarmAfter))
}

func (l *Limiter) cut() {
	now := time.Now()
	if now.Sub(l.lastCut) < cutPause {
		return // The requests that ran together report the same overload.
	}
	l.lastCut = now
	l.limit = max(l.limit*cutFactor, float64(l.ColdLimit))
}

func (l *Limiter) reset() {
	l.limit = float64(l.ColdLimit)
	l.proven, l.provenBefore = 0, 0
	l.average, l.averageBetween = 0, 0
	l.samples = 0
	l.lastCut = time.Now()
}

// jumped reports whether a warm endpoint has become many times slower at once, as when it turns cold. A kept prefix can
// hide that in the first token, but not in the times between tokens.
func (l *Limiter) jumped(firstToken, betweenTokens time.Duration) bool {
	if l.samples < samplesToJudge {
		return false
	}
	return (firstToken > l.FirstTokenTarget/2 && float64(firstToken) > jumpFactor*float64(l.average)) ||
		float64(betweenTokens) > jumpFactor*float64(l.averageBetween) && l.averageBetween > 0
}

func (l *Limiter) observe(firstToken, betweenTokens time.Duration) {
	l.samples++
	if l.samples == 1 {
		l.average, l.averageBetween = firstToken, betweenTokens
		return
	}
	l.average += time.Duration(averageWeight * float64(firstToken-l.average))
	l.averageBetween += time.Duration(averageWeight * float64(betweenTokens-l.averageBetween))
}
