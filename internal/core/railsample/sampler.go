package railsample

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Sampler lets so many lines of one kind a second through; its fields are set before its first use.
type Sampler struct {
	PerSecond int

	mu      sync.Mutex
	limiter *rate.Limiter
	leftOut int
}

// Allow reports whether a line may be logged now, and how many lines were suppressed since the last one that was allowed.
func (s *Sampler) Allow() (leftOut int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(s.PerSecond), s.PerSecond)
	}
	if !s.limiter.AllowN(time.Now(), 1) {
		s.leftOut++
		return 0, false
	}
	leftOut, s.leftOut = s.leftOut, 0
	return leftOut, true
}
