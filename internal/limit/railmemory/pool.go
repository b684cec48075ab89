package railmemory

import "sync/atomic"

// Pool is an amount of memory that its users share. Its exported field must be set before its first use. It is safe for concurrent use.
type Pool struct {
	// MaxBytes is the total number of bytes.
	MaxBytes int64

	used atomic.Int64
}

// TryAcquire takes a number of bytes from the pool. It returns false if that many are not left.
func (p *Pool) TryAcquire(bytes int) bool {
	if p.used.Add(int64(bytes)) <= p.MaxBytes {
		return true
	}
	p.Release(bytes)
	return false
}

// Release returns a number of bytes to the pool.
func (p *Pool) Release(bytes int) {
	p.used.Add(-int64(bytes))
}
