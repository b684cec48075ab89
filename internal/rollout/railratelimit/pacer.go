package railratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

const (
	// defaultBurst is the burst of a Pacer that sets none, in bytes.
	defaultBurst = 4 << 20
	// maxRateReduction is the share by which the rate is reduced for a fully loaded endpoint.
	maxRateReduction = 0.5
)

// Pacer limits the rate of transferred bytes; the zero value does not limit it.
type Pacer struct {
	// Burst is the number of bytes that may be transferred at once, or 0 for the default; it is set before the first use.
	Burst int

	once    sync.Once
	limiter *rate.Limiter
}

// SetRate sets the rate in bytes per second; load is the endpoint's load as a share of its limit, from 0 to 1.
func (p *Pacer) SetRate(bytesPerSecond int, load float64) {
	p.init()
	p.limiter.SetLimit(rate.Limit(float64(bytesPerSecond) * (1 - maxRateReduction*min(max(load, 0), 1))))
}

// Wait waits until n bytes may be transferred, or returns an error when ctx is done first.
func (p *Pacer) Wait(ctx context.Context, n int) error {
	p.init()
	return errors.Wrap(p.limiter.WaitN(ctx, min(n, p.Burst)), "wait for the transfer rate limit")
}

// Consume counts n bytes against the rate without waiting, which delays the calls of Wait.
func (p *Pacer) Consume(n int) {
	if n <= 0 {
		return
	}
	p.init()
	p.limiter.ReserveN(time.Now(), min(n, p.Burst))
}

func (p *Pacer) init() {
	p.once.Do(func() {
		if p.Burst == 0 {
			p.Burst = defaultBurst
		}
		p.limiter = rate.NewLimiter(rate.Inf, p.Burst)
	})
}
