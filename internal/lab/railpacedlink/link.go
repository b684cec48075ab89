package railpacedlink

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
)

// Link is one shared link; its fields are set before its first use.
type Link struct {
	// BytesPerSecond is the link's rate; 0 means no pace.
	BytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time
	bytes  int64
}

// Carry takes n bytes over all the links at once, at the pace of the busiest, or returns an error when ctx is done first.
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

// Bytes returns the bytes that the link has carried.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// reserve takes the link's next span of time for n bytes and returns its end.
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
