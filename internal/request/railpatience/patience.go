package railpatience

import (
	"slices"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
)

const (
	// kept is the number of requests that are remembered of each kind, and enough that from which on they say what is usual.
	kept   = 64
	enough = 16
	// usualQuantile is the share of the requests remembered that wait no longer than usual: first tries do, later ones have less
	// time left.
	usualQuantile = 0.9
	// laterShare is the share of the usual time below which a request is taken for a later try.
	laterShare = 0.8
	// maxKinds bounds the kinds of request that are remembered.
	maxKinds = 4096
	// retryFirst and retrySpread bound the time after which a refused caller is told to come back.
	retryFirst  = 900 * time.Millisecond
	retrySpread = 1100 * time.Millisecond
	// retryPart is the part of the time that a caller has left of which it waits at the most.
	retryPart = 3
)

// RetryDetector is safe for concurrent use; the zero value knows nothing.
type RetryDetector struct {
	mu    sync.Mutex
	kinds map[kind]*recent
}

// kind is a route, and a customer or all of them.
type kind struct {
	route, customer string
}

// recent holds the times of the last requests of a kind.
type recent struct {
	waits []time.Duration
	next  int
}

// Observe notes the time that a caller is ready to wait from now on, and reports whether its request is likely to be a later try:
// when it is much shorter than is usual on the route, and for the customer too where that is known.
func (p *RetryDetector) Observe(route, customer string, wait time.Duration) bool {
	if wait <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	usual, known := p.note(kind{route: route}, wait)
	if own, ok := p.note(kind{route: route, customer: customer}, wait); ok && customer != "" {
		usual = min(usual, own)
	}
	return known && wait < time.Duration(laterShare*float64(usual))
}

// note remembers a request and returns the usual time of its kind before it, or false while too few are known.
func (p *RetryDetector) note(k kind, wait time.Duration) (time.Duration, bool) {
	r := p.kinds[k]
	if r == nil {
		if p.kinds == nil || len(p.kinds) >= maxKinds {
			p.kinds = map[kind]*recent{}
		}
		r = &recent{}
		p.kinds[k] = r
	}
	usual, ok := r.usual()
	r.add(wait)
	return usual, ok
}

func (r *recent) add(wait time.Duration) {
	if len(r.waits) < kept {
		r.waits = append(r.waits, wait)
		return
	}
	r.waits[r.next] = wait
	r.next = (r.next + 1) % kept
}

func (r *recent) usual() (time.Duration, bool) {
	if len(r.waits) < enough {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(r.waits))
	return sorted[int(usualQuantile*float64(len(sorted)))], true
}

// RetryAfter returns the time after which a refused caller is to come back, of which spread, below 1, tells callers apart. Wait is the
// time that the caller was ready to wait in all, or 0 where it named none, and passed what has passed of it.
func RetryAfter(wait, passed time.Duration, spread float64) time.Duration {
	after := retryFirst + railtimer.Part(spread, retrySpread)
	if wait > 0 {
		after = min(after, (wait-passed)/retryPart)
	}
	return max(after, 0)
}
