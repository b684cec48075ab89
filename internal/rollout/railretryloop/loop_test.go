package railretryloop_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railretryloop"
)

// Guards against one step in the exchange of weights that ends its process: a gateway runs such steps beside its requests.
func TestPanicInStepIsAFailedStep(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		runs := 0
		(&railretryloop.Loop{Name: "fetch", Interval: time.Second, Log: slog.New(slog.DiscardHandler), RunOnce: func(context.Context) error {
			runs++
			if runs == 1 {
				panic("at a step")
			}
			return nil
		}}).Run(ctx)
		qt.Check(t, runs > 5, qt.IsTrue, qt.Commentf("%d", runs))
	})
}
