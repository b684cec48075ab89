package railstoreclock

import (
	"slices"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

const (
	// maxDrift is the largest difference in rate between the store's clock and the local one.
	maxDrift = 1e-3
	// resolution is the resolution of the store's clock, whose readings are rounded down.
	resolution = time.Millisecond
	// maxObservations bounds the number of responses that are remembered.
	maxObservations = 64
)

// Clock relates the store's version counter and its monotonic clock to the local clock. It is safe for concurrent use; its exported
// fields must be set before its first use.
type Clock struct {
	// Local returns the time since boot, including time in suspend.
	Local func() time.Duration

	mu sync.Mutex
	// latest is an upper bound of the store's clock at the local time latestAt. It belongs to the given era of the store.
	latest, latestAt time.Duration
	era              int64
	// observations holds the versions of responses in increasing order.
	observations []observation
}

// observation is the last known time on the store's clock at which the store had a version.
type observation struct {
	version int64
	at      time.Duration
}

// Observe applies a response that the store sent at the local time sentAt or later, when it had the given version and its clock showed
// storeNow.
func (c *Clock) Observe(version int64, storeNow, sentAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	local := c.Local()
	latest := storeNow + max(local-sentAt, 0)
	if known, ok := c.latestNow(local); ok && c.era == railversion.Era(version) && storeNow <= known+resolution {
		latest = max(min(latest, known), storeNow)
	}
	c.latest, c.latestAt, c.era = latest, local, railversion.Era(version)
	c.addObservation(observation{version: version, at: storeNow})
}

// Now returns the latest time that the store's clock may show now, or 0 before the first response.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == 0 {
		return 0
	}
	return c.latest + c.Local() - c.latestAt
}

// EarliestLocal returns the earliest local time at which the store's clock may have shown storeNow, or 0 before the first response. What a
// response contains was current at that time, however late the response was sent or has arrived.
func (c *Clock) EarliestLocal(storeNow time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == 0 {
		return 0
	}
	elapsed := c.latest - storeNow
	return c.latestAt - elapsed - drift(elapsed) - resolution
}

// latestNow returns an upper bound of the store's clock at the given local time, or false before the first response.
func (c *Clock) latestNow(local time.Duration) (time.Duration, bool) {
	elapsed := local - c.latestAt
	return c.latest + elapsed + drift(elapsed), c.latest != 0
}

// WrittenAfter returns the last known time on the store's clock before a row of the given version was written, or 0 if none is known.
func (c *Clock) WrittenAfter(version int64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Duration(0)
	for _, o := range c.observations {
		if o.version < version {
			at = o.at
		}
	}
	return at
}

// addObservation adds an observation unless a later response is known already, which may have overtaken it. If the store was restored or
// its clock has been set back, all earlier observations are dropped, since they don't tell when rows were written.
func (c *Clock) addObservation(o observation) {
	n := len(c.observations)
	if n == 0 {
		c.observations = append(c.observations, o)
		return
	}
	newest := &c.observations[n-1]
	switch {
	case railversion.Era(o.version) > railversion.Era(newest.version), o.version > newest.version && o.at < newest.at:
		c.observations = append(c.observations[:0], o)
	case o.version < newest.version || o.at < newest.at:
	case o.version == newest.version:
		newest.at = o.at
	case n == maxObservations:
		c.observations = append(slices.Delete(c.observations, 0, 1), o)
	default:
		c.observations = append(c.observations, o)
	}
}

// drift returns the largest difference between the store's clock and the local one after the given time.
func drift(elapsed time.Duration) time.Duration {
	return time.Duration(maxDrift * float64(max(elapsed, 0)))
}
