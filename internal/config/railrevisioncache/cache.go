package railrevisioncache

import (
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
)

// NeverConfirmedAge is the age reported for a revision that was never confirmed to be current.
const NeverConfirmedAge = 24 * 365 * time.Hour

// Cache holds the newest revision known to a process; the zero value is empty. It is safe for concurrent use.
type Cache struct {
	// KeepNewer is set before first use by a process that publishes. It then adopts no revision of which a part is older than the present
	// one's: such a revision was published by a process that did not know the present one, since the store had lost it.
	KeepNewer bool

	mu            sync.Mutex
	current       railrevision.Revision
	adoptedAt     time.Time
	lastConfirmed time.Time
	changed       chan struct{}
}

// Current returns the revision in force, or false if there is none.
func (c *Cache) Current() (railrevision.Revision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.current.Number > 0
}

// Number returns the number of the revision in force, or 0 if there is none.
func (c *Cache) Number() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.Number
}

// Adopt puts a revision in force if its number is higher than the present one's, unless KeepNewer forbids it, and reports whether it did.
func (c *Cache) Adopt(r railrevision.Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Number <= c.current.Number || (c.KeepNewer && !r.Supersedes(c.current)) {
		return false
	}
	c.current = r
	c.adoptedAt = time.Now()
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
	return true
}

// Confirm records that the revision in force was the current one age ago, if it has the given number.
func (c *Cache) Confirm(number uint64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	confirmedAt := time.Now().Add(-age)
	if number == c.current.Number && confirmedAt.After(c.lastConfirmed) {
		c.lastConfirmed = confirmedAt
	}
}

// Age returns the time since the revision in force was last confirmed to be current.
func (c *Cache) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastConfirmed.IsZero() {
		return NeverConfirmedAge
	}
	return time.Since(c.lastConfirmed)
}

// Changed returns a channel that is closed when the next revision is adopted.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}
