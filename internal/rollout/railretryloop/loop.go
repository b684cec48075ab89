package railretryloop

import (
	"context"
	"log/slog"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
)

// retryDelay is the delay after a failed run, such as when an engine does not respond or is not ready yet.
const retryDelay = 150 * time.Millisecond

// Loop runs one step repeatedly. Its fields must be set before Run.
type Loop struct {
	// Name is the step's name in the log.
	Name string
	// RunOnce runs the step once.
	RunOnce func(context.Context) error
	// Interval is the delay after a successful run. A value from Wake ends any delay early.
	Interval time.Duration
	Wake     <-chan struct{}
	Log      *slog.Logger
}

// Run calls RunOnce until ctx is done. A panic in it is an error. It logs an error unless its text equals that of the error logged last.
func (l *Loop) Run(ctx context.Context) {
	lastErr := ""
	for ctx.Err() == nil {
		err := l.runContained(ctx)
		delay := l.Interval
		if err != nil {
			delay = retryDelay
		}
		if err != nil && err.Error() != lastErr && ctx.Err() == nil {
			lastErr = err.Error()
			l.Log.Warn("weights are not in place yet", "step", l.Name, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-l.Wake:
		case <-time.After(delay):
		}
	}
}

func (l *Loop) runContained(ctx context.Context) (err error) {
	defer func() {
		if p := railpanic.Recovered(recover(), l.Log, "step", "step", l.Name); p != nil {
			err = p
		}
	}()
	return l.RunOnce(ctx)
}
