package railsteps

import (
	"context"
	"log/slog"
	"time"
)

// failedPause is the pause after a pass that failed, as when an engine does not answer or has not been ready yet.
const failedPause = 150 * time.Millisecond

// Step is one step; its fields are set before Run.
type Step struct {
	// Name is what the log calls it.
	Name string
	// Pass does what there is to do.
	Pass func(context.Context) error
	// Pause is the pause after a pass, which News ends.
	Pause time.Duration
	News  <-chan struct{}
	Log   *slog.Logger
}

// Run makes passes until ctx is done, and logs each failure that is not the last one over again.
func (s *Step) Run(ctx context.Context) {
	last := ""
	for ctx.Err() == nil {
		err := s.Pass(ctx)
		pause := s.Pause
		if err != nil {
			pause = failedPause
		}
		if err != nil && err.Error() != last && ctx.Err() == nil {
			last = err.Error()
			s.Log.Warn("weights are not in place yet", "step", s.Name, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-s.News:
		case <-time.After(pause):
		}
	}
}
