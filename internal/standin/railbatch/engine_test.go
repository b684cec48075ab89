package railbatch_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/standin/railbatch"
)

// startEngine returns an engine that runs until ctx is done.
func startEngine(ctx context.Context) *railbatch.Engine {
	e := &railbatch.Engine{
		Timing: railbackend.Timing{StepTime: 10 * time.Millisecond, StepsPerPass: 5, PrefillTokensPerSecond: 10_000}, Slots: 2, ChunkTokens: 1000,
	}
	go e.Run(ctx)
	return e
}

func TestLatencyIncludesPrefillOfOtherRequests(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e := startEngine(ctx)
		start := time.Now()
		var firstToken, maxGap time.Duration
		lastOutput := start
		recordOutput := func() {
			now := time.Now()
			if firstToken == 0 {
				firstToken = now.Sub(start)
			} else {
				maxGap = max(maxGap, now.Sub(lastOutput))
			}
			lastOutput = now
		}
		go func() {
			time.Sleep(300 * time.Millisecond)
			_ = e.Generate(ctx, 1000, 5, func() {}) // Its prompt is prefilled during a decoding pass of the other request.
		}()
		qt.Assert(t, e.Generate(ctx, 1500, 51, recordOutput), qt.IsNil)
		qt.Check(t, firstToken, qt.Equals, 170*time.Millisecond, qt.Commentf("two passes of one step, and prefill of 1500 tokens"))
		qt.Check(t, maxGap, qt.Equals, 150*time.Millisecond, qt.Commentf("a pass of five steps, and prefill of 1000 tokens of the other request"))
		qt.Check(t, time.Since(start), qt.Equals, 770*time.Millisecond, qt.Commentf("ten decoding passes after the first token"))
	})
}

func TestNoOutputAfterCancellation(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e := startEngine(ctx)
		reqCtx, cancelReq := context.WithTimeout(ctx, 105*time.Millisecond) // Expires during the pass that would generate the first token.
		defer cancelReq()
		outputs := 0
		qt.Check(t, e.Generate(reqCtx, 1000, 50, func() { outputs++ }), qt.ErrorIs, context.DeadlineExceeded)
		time.Sleep(time.Second)
		qt.Check(t, outputs, qt.Equals, 0)
	})
}
