package railengine

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
)

const (
	maxEvents  = 1000
	maxReports = 1000
)

var roles = []string{"both", "prefill", "decode"}

// report is the load at one moment.
type report struct {
	at      time.Time
	running int
}

// LoadAdapter orders the engine to serve an adapter besides its weights, or returns an error for an old fencing number.
func (e *Engine) LoadAdapter(name string, fence int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.passFence(fence); err != nil {
		return err
	}
	if !slices.Contains(e.adapters, name) {
		e.adapters = append(e.adapters, name)
	}
	return nil
}

// SetRole orders the engine to fill prompts, to decode or both, or returns an error.
func (e *Engine) SetRole(role string, fence int64) error {
	if !slices.Contains(roles, role) {
		return errors.Newf("unknown role %q; the roles are %v", role, roles)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.passFence(fence); err != nil {
		return err
	}
	e.role = role
	return nil
}

// Role returns the role in force and the adapters served.
func (e *Engine) Role() (role string, adapters []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role == "" {
		return roles[0], slices.Clone(e.adapters)
	}
	return e.role, slices.Clone(e.adapters)
}

// ReportedLoad returns the number of running requests as it was before the lag.
func (e *Engine) ReportedLoad() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := time.Now().Add(-e.LoadReportLag)
	running := 0
	for _, r := range e.reports {
		if r.at.After(seen) {
			break
		}
		running = r.running
	}
	return running
}

// passFence refuses an order with an old fencing number, unless the engine ignores them.
func (e *Engine) passFence(fence int64) error {
	if !e.IgnoresFence && fence < e.fence {
		return railendpoint.ErrStaleFence
	}
	e.fence = max(e.fence, fence)
	return nil
}

func (e *Engine) noteLoad() {
	e.reports = append(e.reports, report{at: time.Now(), running: len(e.running)})
	if len(e.reports) > maxReports {
		e.reports = e.reports[1:]
	}
}
