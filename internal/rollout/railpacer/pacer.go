package railpacer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

const (
	defaultBurst = 4 << 20
	// yieldShare is the share of the pace that a fully loaded endpoint takes away.
	yieldShare = 0.5
)

// Pacer spreads bytes over time; the zero value does not hold them back.
type Pacer struct {
	// Burst is the number of bytes that may pass at once, or 0 for the default; it is set before the first use.
	Burst int

	once    sync.Once
	limiter *rate.Limiter
}

// SetRate sets the pace in bytes a second for an endpoint that is loaded to the given share of its limit.
func (p *Pacer) SetRate(bytesPerSecond int, loaded float64) {
	p.init()
	p.limiter.SetLimit(rate.Limit(float64(bytesPerSecond) * (1 - yieldShare*min(max(loaded, 0), 1))))
}

// Wait waits until n bytes may pass, or returns an error when ctx is done first.
func (p *Pacer) Wait(ctx context.Context, n int) error {
	p.init()
	return errors.Wrap(p.limiter.WaitN(ctx, min(n, p.Burst)), "wait for the pace of weights")
}

// Consume lets n bytes pass at once; those that wait pass so much later.
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
