package railreplica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

// errInterrupted means that another follower has found the store back, so that a response to the present request may never come.
var errInterrupted = errors.New("the request was abandoned since the store is back")

// recoverySignal returns a channel that is closed when another follower finds that the store responds again, or nil.
func (f *Follower) recoverySignal() <-chan struct{} {
	if f.Recovered == nil {
		return nil
	}
	return f.Recovered.Changed()
}

// waitForRetry waits for the interval, or until the store responds to another follower again.
func (f *Follower) waitForRetry(ctx context.Context, recovered <-chan struct{}, interval time.Duration) {
	select {
	case <-recovered:
	case <-time.After(interval):
	case <-ctx.Done():
	}
}

// interruptiblePoll is like poll, but returns errInterrupted if the store responds to another follower again before it responds to this one.
func (f *Follower) interruptiblePoll(ctx context.Context, recovered <-chan struct{}) error {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	interrupted := make(chan struct{})
	go func() {
		select {
		case <-recovered:
			close(interrupted)
			cancel()
		case <-pollCtx.Done():
		}
	}()
	err := f.poll(pollCtx)
	select {
	case <-interrupted:
		if err != nil {
			return errInterrupted
		}
	default:
	}
	return err
}

func (f *Follower) logLoss(ctx context.Context, err error) {
	if f.storeLost || ctx.Err() != nil {
		return
	}
	f.storeLost, f.recoveredSinceLoss = true, f.recoverySignal()
	if age, known := f.Age(); known {
		f.Log.Warn("store lost", "table", f.Table, "err", err, "age", age)
		return
	}
	f.Log.Warn("store does not answer yet", "table", f.Table, "err", err)
}

func (f *Follower) logRecovery() {
	if f.storeLost {
		f.storeLost, f.readElsewhere = false, false
		f.Log.Info("store regained", "table", f.Table, "version", railversion.String(f.Version()))
		select {
		case <-f.recoveredSinceLoss: // The other followers know, and the requests that they have sent since must not be abandoned.
		default:
			f.notifyRecovery()
		}
	}
}

func (f *Follower) notifyRecovery() {
	if f.Recovered != nil {
		f.Recovered.Notify()
	}
}
