package railbatch_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/standin/railbatch"
)

// startEngine returns an engine that works until ctx is done.
func startEngine(ctx context.Context) *railbatch.Engine {
	e := &railbatch.Engine{
		Timing: railbackend.Timing{StepTime: 10 * time.Millisecond, StepsPerPass: 5, PrefillTokensPerSecond: 10_000}, Slots: 2, ChunkTokens: 1000,
	}
	go e.Run(ctx)
	return e
}

func TestAnAnswerTakesItsPassesAndThoseOfTheOthersPrompts(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e := startEngine(ctx)
		began := time.Now()
		var first, longest time.Duration
		last := began
		note := func() {
			now := time.Now()
			if first == 0 {
				first = now.Sub(began)
			} else {
				longest = max(longest, now.Sub(last))
			}
			last = now
		}
		go func() {
			time.Sleep(300 * time.Millisecond)
			_ = e.Generate(ctx, 1000, 5, func() {}) // Its prompt is read between the other's passes.
		}()
		qt.Assert(t, e.Generate(ctx, 1500, 51, note), qt.IsNil)
		qt.Check(t, first, qt.Equals, 170*time.Millisecond, qt.Commentf("two passes of one step, and 1500 tokens"))
		qt.Check(t, longest, qt.Equals, 150*time.Millisecond, qt.Commentf("a pass of five steps, and 1000 tokens of the other"))
		qt.Check(t, time.Since(began), qt.Equals, 770*time.Millisecond, qt.Commentf("ten more passes"))
	})
}

func TestACallerThatLeftIsToldNothingMore(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e := startEngine(ctx)
		leaves, leave := context.WithTimeout(ctx, 105*time.Millisecond) // In the middle of the pass that would write the first token.
		defer leave()
		told := 0
		qt.Check(t, e.Generate(leaves, 1000, 50, func() { told++ }), qt.ErrorIs, context.DeadlineExceeded)
		time.Sleep(time.Second)
		qt.Check(t, told, qt.Equals, 0)
	})
}
