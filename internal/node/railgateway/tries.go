package railgateway

import (
	"context"
	"maps"
	"sync"

	"github.com/fulmarrail/fulmarrail/internal/config/railroute"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railexchange"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
)

// tries are the attempts for one request, over all resumes of its stream. Two of them may run at the same time. It is safe for concurrent use.
type tries struct {
	mu sync.Mutex
	// instances holds the IDs of the instances that were tried.
	instances map[string]bool
	// running and failed hold the addresses of the endpoints at which an attempt runs, and at which one failed that may have run.
	running, failed []string
	verdict         railverdict.Verdict
	// retriedOnFailure is set once the request has been retried because an endpoint returned a server error.
	retriedOnFailure bool
}

// begin records that an attempt begins at an instance.
func (t *tries) begin(i railinstance.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.instances == nil {
		t.instances = map[string]bool{}
	}
	t.instances[i.ID] = true
	t.running = append(t.running, i.Address)
}

// fail records that an attempt at an instance has failed.
func (t *tries) fail(i railinstance.Instance, verdict railverdict.Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, address := range t.running {
		if address == i.Address {
			t.running = append(t.running[:n], t.running[n+1:]...)
			break
		}
	}
	if verdict != railverdict.NotRun {
		t.failed = append(t.failed, i.Address)
		t.verdict = railverdict.MayHaveRun
	}
}

// count returns the number of instances that were tried, of which no one is tried twice.
func (t *tries) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.instances)
}

// tried returns the IDs of the instances that were tried.
func (t *tries) tried() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.instances)
}

// sumVerdict says whether one of the failed attempts may have run.
func (t *tries) sumVerdict() railverdict.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdict
}

// worstVerdict is sumVerdict, which counts attempts that run as ones that may have run.
func (t *tries) worstVerdict() railverdict.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.running) > 0 {
		return railverdict.MayHaveRun
	}
	return t.verdict
}

// takeServerErrorRetry reports whether this is the first server error.
func (t *tries) takeServerErrorRetry() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := !t.retriedOnFailure
	t.retriedOnFailure = true
	return first
}

// allowAnother reports whether a route allows another attempt while the running ones go on.
func (t *tries) allowAnother(ctx context.Context, route railroute.Route) bool {
	used := t.used()
	if used > 0 && !route.Idempotent() {
		return false
	}
	limit := max(route.MaxAttempts, 1)
	if used < limit {
		return true
	}
	return t.dropEnded(ctx) && t.used() < limit
}

// used returns the number of attempts that run, or may have run at an endpoint that has not ended.
func (t *tries) used() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running) + len(t.failed)
}

// dropEnded forgets failed attempts whose endpoints have ended. It reports whether there was one.
func (t *tries) dropEnded(ctx context.Context) bool {
	t.mu.Lock()
	failed := t.failed
	t.failed = nil
	t.mu.Unlock()
	var kept []string
	for _, address := range failed {
		if !railexchange.Refuses(ctx, address) {
			kept = append(kept, address)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed = append(kept, t.failed...)
	return len(kept) < len(failed)
}
