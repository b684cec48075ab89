package railselfreport

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
)

// rampUpTime is the time in which the limits of an endpoint grow to their full values after it has asked for no requests.
const rampUpTime = 2 * time.Second

// SelfReport is what one instance of an endpoint has said of itself. It is immutable.
type SelfReport struct {
	id, address string
	startMillis int64
	// leavingAt is the time of the latest response in which the instance said that it is leaving, and leavingStoreTime an upper bound
	// of the store's clock at that time.
	leavingAt        time.Time
	leavingStoreTime time.Duration
	// leavingListed is set once the list of endpoints has shown the instance as leaving or gone.
	leavingListed bool
	// pausedUntil is the time until which the instance has asked for no requests, or zero.
	pausedUntil time.Time
	// limit is the latest limit that the instance has named, and limitSince the arrival of the response that named it.
	limit      float64
	limitSince time.Time
	// limitNamedAt is the arrival of the latest response that named a limit. limitEndedAt is the time at which the latest request was sent
	// whose response named none.
	limitNamedAt, limitEndedAt time.Time
}

// New returns the report of an instance that has said nothing.
func New(i railinstance.Instance) *SelfReport {
	return &SelfReport{id: i.ID, address: i.Address, startMillis: i.StartMillis}
}

// IsAbout reports whether the report is about an instance, not one that has its address or ID after it.
func (r *SelfReport) IsAbout(i railinstance.Instance) bool {
	return r.id == i.ID && r.address == i.Address && r.startMillis == i.StartMillis
}

// WithLeaving returns a report in which the instance has said that it is leaving, in a response that arrived at the given time. storeTime
// is an upper bound of the store's clock at that time.
func (r *SelfReport) WithLeaving(at time.Time, storeTime time.Duration) *SelfReport {
	updated := *r
	updated.leavingAt, updated.leavingStoreTime = at, max(storeTime, r.leavingStoreTime)
	return &updated
}

// WithLeavingListed returns a report of an instance that the list of endpoints has shown as leaving or gone.
func (r *SelfReport) WithLeavingListed() *SelfReport {
	updated := *r
	updated.leavingListed = true
	return &updated
}

// WithReturn returns a report of an instance that has come back after it had said that it is leaving.
func (r *SelfReport) WithReturn() *SelfReport {
	updated := *r
	updated.leavingAt, updated.leavingStoreTime, updated.leavingListed = time.Time{}, 0, false
	return &updated
}

// WithPause returns a report in which the instance has asked for no requests for the given time from the arrival of its response on. A
// pause does not end an earlier one that lasts longer.
func (r *SelfReport) WithPause(at time.Time, d time.Duration) *SelfReport {
	updated := *r
	if until := at.Add(d); until.After(r.pausedUntil) {
		updated.pausedUntil = until
	}
	return &updated
}

// Leaving reports whether the instance has said that it is leaving and has not come back.
func (r *SelfReport) Leaving() bool {
	return !r.leavingAt.IsZero()
}

// LeavingAge returns the time since the instance last said that it is leaving.
func (r *SelfReport) LeavingAge(now time.Time) time.Duration {
	return now.Sub(r.leavingAt)
}

// LeavingListed reports whether the list of endpoints has shown the instance as leaving or gone.
func (r *SelfReport) LeavingListed() bool {
	return r.leavingListed
}

// ReturnedBy reports whether a list row that shows the instance as ready, and was written after a time of the store's clock, means that
// it has come back. The row of an instance may change after it has said that it is leaving and before the list shows that, so the list
// must have shown it first.
func (r *SelfReport) ReturnedBy(writtenAfter time.Duration) bool {
	return r.Leaving() && r.leavingListed && writtenAfter > r.leavingStoreTime
}

// Paused reports whether the instance has asked for no requests now.
func (r *SelfReport) Paused(now time.Time) bool {
	return now.Before(r.pausedUntil)
}

// PausedUntil returns the time until which the instance has asked for no requests, or zero.
func (r *SelfReport) PausedUntil() time.Time {
	return r.pausedUntil
}

// LimitShare returns the share of its limits that the instance may use. It is 0 during a pause and grows to 1 after it, as for an endpoint
// that warms up.
func (r *SelfReport) LimitShare(now time.Time) float64 {
	if r.pausedUntil.IsZero() {
		return 1
	}
	return max(0, min(1, float64(now.Sub(r.pausedUntil))/float64(rampUpTime)))
}
