package railkeeper

import (
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
)

// NeverConfirmedAge is the age of a revision that was never confirmed as current.
const NeverConfirmedAge = 24 * 365 * time.Hour

// Cache holds the highest revision that a process has met; the zero value holds none.
type Cache struct {
	mu        sync.Mutex
	current   railrevision.Revision
	adopted   time.Time
	confirmed time.Time
	changed   chan struct{}
}

// Current returns the revision in force and whether there is one.
func (k *Cache) Current() (railrevision.Revision, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current, k.current.Number > 0
}

// Number returns the number of the revision in force, or 0.
func (k *Cache) Number() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current.Number
}

// Adopt puts a revision in force if its number is higher, and reports whether it did.
func (k *Cache) Adopt(r railrevision.Revision) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.Number <= k.current.Number {
		return false
	}
	k.current = r
	k.adopted = time.Now()
	if k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
	return true
}

// Confirm notes that the numbered revision was the current one the given time ago.
func (k *Cache) Confirm(number uint64, age time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := time.Now().Add(-age)
	if number == k.current.Number && at.After(k.confirmed) {
		k.confirmed = at
	}
}

// Age returns the time since the revision in force was last confirmed as current.
func (k *Cache) Age() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.confirmed.IsZero() {
		return NeverConfirmedAge
	}
	return time.Since(k.confirmed)
}

// Changed returns a channel that is closed at the next adoption.
func (k *Cache) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.changed == nil {
		k.changed = make(chan struct{})
	}
	return k.changed
}
