package raillogsampler

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Sampler is a rate limiter for log lines of one kind. Its fields must be set before first use, and it is safe for concurrent use.
type Sampler struct {
	// PerSecond is the rate limit in lines per second, and also the burst size in lines.
	PerSecond int

	mu         sync.Mutex
	limiter    *rate.Limiter
	suppressed int
}

// Allow reports whether a line may be logged now and, if so, how many lines were suppressed since the last allowed one.
func (s *Sampler) Allow() (suppressedLines int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(s.PerSecond), s.PerSecond)
	}
	if !s.limiter.AllowN(time.Now(), 1) {
		s.suppressed++
		return 0, false
	}
	suppressedLines, s.suppressed = s.suppressed, 0
	return suppressedLines, true
}
