package railengine

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
)

const (
	maxCacheEvents = 1000
	maxLoadSamples = 1000
	maxStarts      = 10_000
)

var roles = []string{"both", "prefill", "decode"}

// loadSample is the number of running requests at a point in time.
type loadSample struct {
	at      time.Time
	running int
}

// LoadAdapter makes the engine serve an adapter in addition to its weights. It returns railendpoint.ErrStaleFence for a stale
// fencing token.
func (e *Engine) LoadAdapter(name string, fence int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.acceptFence(fence); err != nil {
		return err
	}
	if !slices.Contains(e.adapters, name) {
		e.adapters = append(e.adapters, name)
	}
	return nil
}

// SetRole makes the engine run prefill, decoding or both. It returns an error for an unknown role, or railendpoint.ErrStaleFence for
// a stale fencing token.
func (e *Engine) SetRole(role string, fence int64) error {
	if !slices.Contains(roles, role) {
		return errors.Newf("unknown role %q; the roles are %v", role, roles)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.acceptFence(fence); err != nil {
		return err
	}
	e.role = role
	return nil
}

// Role returns the current role and the loaded adapters.
func (e *Engine) Role() (role string, adapters []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role == "" {
		return roles[0], slices.Clone(e.adapters)
	}
	return e.role, slices.Clone(e.adapters)
}

// ReportedLoad returns the number of running requests as of LoadReportLag ago.
func (e *Engine) ReportedLoad() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	visibleUntil := time.Now().Add(-e.LoadReportLag)
	running := 0
	for _, r := range e.loadSamples {
		if r.at.After(visibleUntil) {
			break
		}
		running = r.running
	}
	return running
}

// acceptFence returns railendpoint.ErrStaleFence for a token lower than the highest one seen, unless IgnoresFence is set, and
// otherwise records the token.
func (e *Engine) acceptFence(fence int64) error {
	if !e.IgnoresFence && fence < e.fence {
		return railendpoint.ErrStaleFence
	}
	e.fence = max(e.fence, fence)
	return nil
}

func (e *Engine) recordStart() {
	e.requestStarts = append(e.requestStarts, time.Now())
	if len(e.requestStarts) > maxStarts {
		e.requestStarts = e.requestStarts[1:]
	}
}

func (e *Engine) recordLoad() {
	e.loadSamples = append(e.loadSamples, loadSample{at: time.Now(), running: len(e.running)})
	if len(e.loadSamples) > maxLoadSamples {
		e.loadSamples = e.loadSamples[1:]
	}
}
