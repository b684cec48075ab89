package railretrydetector

import (
	"slices"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
)

const (
	// maxSamples is the number of recent requests in a history, and minSamples the number needed to estimate the typical timeout.
	maxSamples = 64
	minSamples = 16
	// typicalQuantile is the quantile of the timeouts in a history that counts as typical. It is high because first tries have
	// the longest timeouts, and retries have less time left.
	typicalQuantile = 0.9
	// retryShare is the share of the typical timeout below which a request is classified as a retry.
	retryShare = 0.8
	// maxHistories bounds the number of histories. Beyond it, all are dropped.
	maxHistories = 4096
	// A rejected caller is asked to retry after minRetryAfter plus a random part of retryAfterJitter.
	minRetryAfter    = 900 * time.Millisecond
	retryAfterJitter = 1100 * time.Millisecond
	// The delay is at most the time that the caller has left, divided by retryAfterDivisor.
	retryAfterDivisor = 3
)

// RetryDetector learns the typical timeouts of routes and customers to detect retries. The zero value is ready to use. It is safe
// for concurrent use.
type RetryDetector struct {
	mu        sync.Mutex
	histories map[historyKey]*history
}

// historyKey identifies a route and a customer. An empty customer stands for all customers.
type historyKey struct {
	route, customer string
}

// history is a ring buffer of the timeouts of recent requests.
type history struct {
	timeouts []time.Duration
	next     int
}

// Observe records the remaining timeout of a request and reports whether the request is probably a retry: its timeout is much
// shorter than is typical for the route and, if known, for the customer. A timeout of 0 is ignored.
func (d *RetryDetector) Observe(route, customer string, timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	typical, known := d.record(historyKey{route: route}, timeout)
	if customerTypical, ok := d.record(historyKey{route: route, customer: customer}, timeout); ok && customer != "" {
		typical = min(typical, customerTypical)
	}
	return known && timeout < time.Duration(retryShare*float64(typical))
}

// record adds a timeout to a history and returns the history's previous typical timeout. It reports false if there were too few
// samples.
func (d *RetryDetector) record(key historyKey, timeout time.Duration) (time.Duration, bool) {
	h := d.histories[key]
	if h == nil {
		if d.histories == nil || len(d.histories) >= maxHistories {
			d.histories = map[historyKey]*history{}
		}
		h = &history{}
		d.histories[key] = h
	}
	typical, ok := h.typical()
	h.add(timeout)
	return typical, ok
}

func (h *history) add(timeout time.Duration) {
	if len(h.timeouts) < maxSamples {
		h.timeouts = append(h.timeouts, timeout)
		return
	}
	h.timeouts[h.next] = timeout
	h.next = (h.next + 1) % maxSamples
}

func (h *history) typical() (time.Duration, bool) {
	if len(h.timeouts) < minSamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(h.timeouts))
	return sorted[int(typicalQuantile*float64(len(sorted)))], true
}

// RetryAfter returns the delay after which a rejected caller is asked to retry. jitter, from 0 to below 1, spreads the retries of
// different callers. timeout is the caller's total timeout, or 0 if unknown, and elapsed the part of it that has passed.
func RetryAfter(timeout, elapsed time.Duration, jitter float64) time.Duration {
	return RetryAfterPause(0, timeout, elapsed, jitter)
}

// RetryAfterPause returns the delay after which a caller is asked to retry that was rejected because no endpoint takes requests from this
// VM for the time of pause. The others are as for RetryAfter: a caller with too little time left for the pause retries before its end,
// since other VMs may have endpoints for it.
func RetryAfterPause(pause, timeout, elapsed time.Duration, jitter float64) time.Duration {
	delay := max(pause, minRetryAfter) + railtimer.Scale(jitter, retryAfterJitter)
	if timeout > 0 {
		delay = min(delay, (timeout-elapsed)/retryAfterDivisor)
	}
	return max(delay, 0)
}
