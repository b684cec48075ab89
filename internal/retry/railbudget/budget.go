package railbudget

import "sync"

const (
	reserve = 10
	ceiling = 100
)

// Budget holds the retries that successes have earned; the zero value holds a small reserve.
type Budget struct {
	mu     sync.Mutex
	earned float64
	spent  float64
}

// Deposit adds the given share of a retry for one success.
func (b *Budget) Deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.earned+share, b.spent+ceiling)
}

// TryWithdraw takes one retry, or reports false when none is left.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.earned+reserve-b.spent < 1 {
		return false
	}
	b.spent++
	return true
}
