package railpacedlink

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
)

// Link is a shared network link. BytesPerSecond must be set before the first use.
type Link struct {
	// BytesPerSecond is the bandwidth; 0 means unlimited.
	BytesPerSecond float64

	mu sync.Mutex
	// freeAt is when the last queued transfer ends.
	freeAt time.Time
	bytes  int64
}

// Transfer simulates a transfer of n bytes over all links at once and returns when the slowest of them, queued transfers
// included, has finished. It returns the context's error if ctx is done first.
func Transfer(ctx context.Context, n int, links ...*Link) error {
	var doneAt time.Time
	for _, l := range links {
		if end := l.reserve(n); end.After(doneAt) {
			doneAt = end
		}
	}
	if !railtimer.Sleep(ctx, time.Until(doneAt)) {
		return ctx.Err()
	}
	return nil
}

// Bytes returns the number of bytes of all transfers over the link, those in progress or cancelled included.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// reserve queues n bytes on the link and returns the time at which their transfer ends.
func (l *Link) reserve(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += int64(n)
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	if l.BytesPerSecond > 0 {
		l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.BytesPerSecond * float64(time.Second)))
	}
	return l.freeAt
}
