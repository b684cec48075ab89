package raillimiter

import (
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	decreaseFactor      = 0.5
	smoothingFactor     = 0.1
	slowdownFactor      = 2.5
	minSamples          = 16
	minDecreaseInterval = 100 * time.Millisecond
	// peakWindow is the length of each of the two windows over which the peak concurrency is taken. An older peak may no longer be
	// sustainable.
	peakWindow = time.Second
	// peakHeadroom is the number of requests in flight that may be tried above the recent peak.
	peakHeadroom = 1
)

// Limiter limits the number of requests in flight. The limit starts at the cold limit, increases with successful requests and
// decreases when requests fail or the time to the first token exceeds its target. It is safe for concurrent use.
type Limiter struct {
	// ColdLimit and MaxLimit bound the limit, in requests in flight.
	ColdLimit, MaxLimit int
	// WarmAfter is the minimum number of responses after a cold start before the limit reaches MaxLimit.
	WarmAfter int
	// FirstTokenTarget is the longest time to the first token of a healthy endpoint.
	FirstTokenTarget time.Duration

	mu      sync.Mutex
	running int
	limit   float64
	// meanFirstToken is the exponential moving average of the time to the first token.
	meanFirstToken time.Duration
	// meanInterToken is the exponential moving average of the time between tokens.
	meanInterToken time.Duration
	samples        int
	lastDecrease   time.Time

	// peak and previousPeak are the highest concurrency at which a request succeeded in the current and the previous window.
	peak, previousPeak int
	windowStart        time.Time
}

// Configure changes the settings and clamps the limit to the new bounds.
func (l *Limiter) Configure(coldLimit, maxLimit, warmAfter int, firstTokenTarget time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ColdLimit, l.MaxLimit, l.WarmAfter, l.FirstTokenTarget = coldLimit, maxLimit, warmAfter, firstTokenTarget
	l.limit = min(max(l.limit, float64(coldLimit)), float64(maxLimit))
}

// TryAcquire admits a request and returns the number of requests in flight, this one included. It reports false if the limit is
// reached.
func (l *Limiter) TryAcquire() (inFlight int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running >= l.effectiveLimit() {
		return 0, false
	}
	l.running++
	return l.running, true
}

// Release ends a request; inFlight is the value that TryAcquire returned for it. firstToken is its time to the first token and
// interToken the mean time between its tokens, or 0 if unknown. ok is false for a failed request.
func (l *Limiter) Release(inFlight int, firstToken, interToken time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	saturated := l.running >= l.baseLimit()
	slowedDown := l.slowedDown(firstToken, interToken)
	if ok && firstToken <= l.FirstTokenTarget && !slowedDown {
		l.recordPeak(inFlight)
	}
	l.running--
	switch {
	case !ok:
		l.decrease()
	case slowedDown:
		l.reset()
	case firstToken > l.FirstTokenTarget:
		l.decrease()
	case saturated:
		l.limit = min(max(l.limit, float64(l.ColdLimit))+l.increment(), float64(l.MaxLimit))
	}
	if ok && !slowedDown {
		l.observe(firstToken, interToken)
	}
}

// ReleaseExpired ends a request that was stopped by its deadline. elapsed is the time since the request was sent to the endpoint. A
// short deadline alone is no sign of overload, but a late first token or slower tokens are.
func (l *Limiter) ReleaseExpired(elapsed, firstToken, interToken time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	switch {
	case l.slowedDown(firstToken, interToken):
		l.reset()
	case firstToken > l.FirstTokenTarget, firstToken == 0 && elapsed > l.FirstTokenTarget:
		l.decrease()
	}
}

// ReleaseUnsampled ends an admitted request without adjusting the limit, for example if it never reached the endpoint.
func (l *Limiter) ReleaseUnsampled() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
}

// Reset returns the limit to the cold limit, for example after a restart or a change of weights.
func (l *Limiter) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
}

// Load returns the number of running requests and the effective limit.
func (l *Limiter) Load() *railproto.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.effectiveLimit()
	return &railproto.Load{Running: int32(l.running), Limit: int32(limit), Cold: limit <= l.ColdLimit}
}

func (l *Limiter) baseLimit() int {
	return max(int(l.limit), l.ColdLimit)
}

// effectiveLimit caps the limit at slightly more than the recent peak. An idle endpoint may have become cold unnoticed, and a
// burst must not be the first to hit it.
func (l *Limiter) effectiveLimit() int {
	l.rotateWindow()
	return min(l.baseLimit(), max(l.peak, l.previousPeak)+peakHeadroom, l.MaxLimit)
}

func (l *Limiter) recordPeak(inFlight int) {
	l.rotateWindow()
	l.peak = max(l.peak, inFlight)
}

// rotateWindow starts a new peak window when the current one is over. The cold limit is always allowed, whatever the peak.
func (l *Limiter) rotateWindow() {
	floor := l.ColdLimit - peakHeadroom
	now := time.Now()
	switch age := now.Sub(l.windowStart); {
	case age < peakWindow:
	case age < 2*peakWindow:
		l.previousPeak, l.peak, l.windowStart = l.peak, 0, now
	default:
		l.previousPeak, l.peak, l.windowStart = 0, 0, now
	}
	l.previousPeak = max(l.previousPeak, floor)
}

// increment returns the increase of the limit per successful request: one for each full limit of successes, capped so that an
// endpoint that is warming up reaches MaxLimit after WarmAfter responses at the earliest.
func (l *Limiter) increment() float64 {
	step := 1 / float64(l.baseLimit())
	if l.WarmAfter <= 0 {
		return step
	}
	return min(step, float64(l.MaxLimit-l.ColdLimit)/float64(l.WarmAfter))
}

func (l *Limiter) decrease() {
	now := time.Now()
	if now.Sub(l.lastDecrease) < minDecreaseInterval {
		return // Concurrent requests report the same overload.
	}
	l.lastDecrease = now
	l.limit = max(l.limit*decreaseFactor, float64(l.ColdLimit))
}

func (l *Limiter) reset() {
	l.limit = float64(l.ColdLimit)
	l.peak, l.previousPeak = 0, 0
	l.meanFirstToken, l.meanInterToken = 0, 0
	l.samples = 0
	l.lastDecrease = time.Now()
}

// slowedDown reports whether a warm endpoint suddenly became several times slower, as it does when it becomes cold. A cached
// prefix can hide this in the time to the first token, but not in the time between tokens.
func (l *Limiter) slowedDown(firstToken, interToken time.Duration) bool {
	if l.samples < minSamples {
		return false
	}
	return (firstToken > l.FirstTokenTarget/2 && float64(firstToken) > slowdownFactor*float64(l.meanFirstToken)) ||
		float64(interToken) > slowdownFactor*float64(l.meanInterToken) && l.meanInterToken > 0
}

func (l *Limiter) observe(firstToken, interToken time.Duration) {
	l.samples++
	if l.samples == 1 {
		l.meanFirstToken, l.meanInterToken = firstToken, interToken
		return
	}
	l.meanFirstToken += time.Duration(smoothingFactor * float64(firstToken-l.meanFirstToken))
	l.meanInterToken += time.Duration(smoothingFactor * float64(interToken-l.meanInterToken))
}
