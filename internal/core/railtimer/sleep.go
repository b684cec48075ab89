package railtimer

import (
	"context"
	"time"
)

// Sleep waits for the given time and reports whether ctx is still live; it returns early when ctx is done.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Scale returns d multiplied by factor.
func Scale(share float64, of time.Duration) time.Duration {
	return time.Duration(share * float64(of))
}
