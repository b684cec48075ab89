package railbudget

import "sync"

// Both are in retries.
const (
	initialBalance = 10
	maxDeposits    = 100
)

// Budget is a retry budget: requests deposit a fraction of a retry, and each retry withdraws one. The caller decides whether all
// requests deposit or only successful ones. The zero value allows an initial balance of retries. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	deposited float64
	withdrawn float64
}

// Deposit adds share, the fraction of a retry that one request earns. Deposits are capped at maxDeposits above the withdrawals.
func (b *Budget) Deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deposited = min(b.deposited+share, b.withdrawn+maxDeposits)
}

// TryWithdraw withdraws one retry. It reports false if the balance is below one.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.deposited+initialBalance-b.withdrawn < 1 {
		return false
	}
	b.withdrawn++
	return true
}

// Return gives back a retry that was withdrawn and not made.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withdrawn--
}
