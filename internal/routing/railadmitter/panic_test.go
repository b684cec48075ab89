package railadmitter_test

import (
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
)

// Guards against a panic in the choice of an endpoint that leaves the queue locked, so that no later request of the service is answered.
func TestPanicInAcquireLeavesQueueUsable(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		a, requirements := newAdmitter()
		bad := requirements
		bad.Refresh = func(*railfleet.Requirements) { panic("at a request") }
		qt.Check(t, func() { _, _ = a.Acquire(t.Context(), bad, 1, customer, time.Now()) }, qt.PanicMatches, "at a request")
		qt.Check(t, a.Waiting(), qt.Equals, 0)
		l, err := a.Acquire(t.Context(), requirements, 1, customer, time.Now())
		qt.Assert(t, err, qt.IsNil)
		l.Done(railfleet.Answered)
	})
}

// Guards against a waiting request whose panic ends the wait of others, or reaches the request that frees capacity.
func TestPanicOfWaitingRequestEndsOnlyItsWait(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		a, requirements := newAdmitter()
		a.Log = slog.New(slog.DiscardHandler)
		leases := acquireAll(t, a, requirements)
		var panics atomic.Bool
		bad := requirements
		bad.Refresh = func(*railfleet.Requirements) {
			if panics.Load() {
				panic("at a request")
			}
		}
		badErr, goodErr := make(chan error, 1), make(chan error, 1)
		go func() {
			_, err := a.Acquire(t.Context(), bad, 0, customer, time.Now().Add(time.Second))
			badErr <- err
		}()
		go func() {
			_, err := a.Acquire(t.Context(), requirements, 1, customer, time.Now().Add(time.Second))
			goodErr <- err
		}()
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, a.Waiting(), qt.Equals, 2)
		panics.Store(true)
		leases[0].Done(railfleet.Answered)
		var p *railpanic.Error
		qt.Check(t, <-badErr, qt.ErrorAs, &p)
		qt.Check(t, <-goodErr, qt.IsNil)
	})
}
