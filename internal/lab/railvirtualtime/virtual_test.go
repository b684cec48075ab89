package railvirtualtime_test

import (
	"sync"
	"testing"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
)

const (
	goroutines        = 16
	waitsPerGoroutine = 50_000
)

// Guards against running the bubble on several processors: with -race, that crashes the race detector within a second.
func TestGoroutinesMayWaitForExpiredTimers(t *testing.T) {
	railvirtualtime.Test(t, func(*testing.T) {
		var wg sync.WaitGroup
		for range goroutines {
			wg.Go(func() {
				never := make(chan struct{})
				for range waitsPerGoroutine {
					select {
					case <-time.After(0):
					case <-never:
					}
				}
			})
		}
		wg.Wait()
	})
}
