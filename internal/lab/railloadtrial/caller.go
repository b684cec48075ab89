package railloadtrial

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/request/railretrydetector"
	"github.com/fulmarrail/fulmarrail/internal/standin/railbatch"
)

// maxAttempts is the number of attempts that a client makes for a request, the first one included.
const maxAttempts = 2

// caller is a simulated client that sends one request.
type caller struct {
	trial        *Trial
	kind         RequestKind
	entry        int
	promptTokens int
	// timeout covers all attempts. jitter, from 0 to 1, spreads the retries of different clients.
	timeout time.Duration
	jitter  float64
}

// outcome is the result of a client's last attempt.
type outcome struct {
	refused, complete bool
	// firstToken is the time from the start of the first attempt to the first token; maxTokenGap is the longest time between two tokens.
	firstToken, maxTokenGap time.Duration
}

func (c *caller) run(ctx context.Context) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var o outcome
	for range maxAttempts {
		o = c.attempt(ctx, start)
		if !o.refused || !railtimer.Sleep(ctx, railretrydetector.RetryAfter(c.timeout, time.Since(start), c.jitter)) {
			break
		}
		c.entry = (c.entry + 1) % c.trial.Entries
	}
	c.trial.record(c.kind, o)
}

// attempt sends the request through the client's current entry. start is when the first attempt began.
func (c *caller) attempt(ctx context.Context, start time.Time) outcome {
	req := request{kind: c.kind, promptTokens: c.promptTokens, receivedAt: time.Now(), timeout: c.timeout - time.Since(start)}
	target, err := c.trial.policies[c.entry].acquire(ctx, req)
	if err != nil {
		return outcome{refused: true}
	}
	defer target.release()
	var o outcome
	lastToken := time.Time{}
	err = c.trial.engines[target.engine].Generate(ctx, c.promptTokens, c.kind.OutputTokens, func() {
		now := time.Now()
		if lastToken.IsZero() {
			o.firstToken = now.Sub(start)
			target.onFirstToken()
		} else {
			o.maxTokenGap = max(o.maxTokenGap, now.Sub(lastToken))
		}
		lastToken = now
	})
	if errors.Is(err, railbatch.ErrFull) {
		return outcome{refused: true}
	}
	o.complete = err == nil
	return o
}
