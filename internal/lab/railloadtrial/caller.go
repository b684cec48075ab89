package railloadtrial

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/request/railpatience"
	"github.com/fulmarrail/fulmarrail/internal/standin/railbatch"
)

// tries is the number of times that a caller asks.
const tries = 2

// caller is one caller with one request.
type caller struct {
	trial  *Trial
	kind   Kind
	entry  int
	prompt int
	// wait is the time for which the caller is ready to wait in all, and spread tells it from others when it is to come back.
	wait   time.Duration
	spread float64
}

// outcome is what a caller got.
type outcome struct {
	refused, whole bool
	// first is the time from the first try to the first token, and pause the longest one in the answer.
	first, pause time.Duration
}

func (c *caller) run(ctx context.Context) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	var o outcome
	for range tries {
		o = c.try(ctx, began)
		if !o.refused || !railtimer.Sleep(ctx, railpatience.RetryAfter(c.wait, time.Since(began), c.spread)) {
			break
		}
		c.entry = (c.entry + 1) % c.trial.Entries
	}
	c.trial.note(c.kind, o)
}

// try asks one entry.
func (c *caller) try(ctx context.Context, began time.Time) outcome {
	a := ask{kind: c.kind, prompt: c.prompt, came: time.Now(), wait: c.wait - time.Since(began)}
	p, err := c.trial.entries[c.entry].acquire(ctx, a)
	if err != nil {
		return outcome{refused: true}
	}
	defer p.done()
	var o outcome
	last := time.Time{}
	err = c.trial.engines[p.engine].Generate(ctx, c.prompt, c.kind.Answer, func() {
		now := time.Now()
		if last.IsZero() {
			o.first = now.Sub(began)
			p.began()
		} else {
			o.pause = max(o.pause, now.Sub(last))
		}
		last = now
	})
	if errors.Is(err, railbatch.ErrFull) {
		return outcome{refused: true}
	}
	o.whole = err == nil
	return o
}
