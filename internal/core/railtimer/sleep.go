package railtimer

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx is done if that is earlier. It reports whether ctx is still active.
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
func Scale(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}
