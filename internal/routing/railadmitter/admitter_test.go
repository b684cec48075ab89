package railadmitter_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/routing/railadmitter"
)

const (
	// pollInterval is the interval at which the admitter retries waiting requests.
	pollInterval = 25 * time.Millisecond
	customer     = "c"
)

// newAdmitter returns an admitter for a single plain endpoint with little capacity.
func newAdmitter() (*railadmitter.Admitter, railfleet.Requirements) {
	f := &railfleet.Fleet{Share: func(_ string, total int) int { return total }, OnChange: func() {}, Log: slog.New(slog.DiscardHandler)}
	f.SetInstances([]railinstance.Instance{{ID: "1", Service: "orders", Address: "10.0.0.1:1", Slots: 1}})
	a := &railadmitter.Admitter{Fleet: f}
	f.OnChange = a.Wake
	return a, railfleet.Requirements{
		Backend: railbackend.Backend{Name: "orders"}, StartWithin: time.Second,
		RegionAllowed: func(string) bool { return true }, ZoneOut: func(string) bool { return false },
	}
}

// acquireAll acquires the whole capacity and returns the leases.
func acquireAll(t *testing.T, a *railadmitter.Admitter, requirements railfleet.Requirements) []*railfleet.Lease {
	var leases []*railfleet.Lease
	for {
		l, err := a.Acquire(t.Context(), requirements, 1, customer, time.Now())
		if err != nil {
			return leases
		}
		leases = append(leases, l)
	}
}

func TestRequestThatCannotStartInTimeIsRejectedImmediately(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		a, requirements := newAdmitter()
		acquireAll(t, a, requirements)
		for range 20 {
			go func() { _, _ = a.Acquire(t.Context(), requirements, 1, customer, time.Now().Add(5*time.Second)) }()
		}
		time.Sleep(10 * time.Millisecond)
		start := time.Now()
		_, err := a.Acquire(t.Context(), requirements, 1, customer, start.Add(100*time.Millisecond))
		qt.Check(t, err, qt.ErrorIs, railadmitter.ErrBusy)
		qt.Check(t, time.Since(start), qt.Equals, time.Duration(0))
	})
}

func TestLowerRankIsGrantedFirst(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		a, requirements := newAdmitter()
		leases := acquireAll(t, a, requirements)
		order := make(chan int, 2)
		for _, rank := range []int{2, 0} {
			go func() {
				if _, err := a.Acquire(t.Context(), requirements, rank, customer, time.Now().Add(time.Second)); err == nil {
					order <- rank
				}
			}()
			time.Sleep(time.Millisecond)
		}
		leases[0].Done(railfleet.Answered)
		qt.Check(t, <-order, qt.Equals, 0)
	})
}

// While a large request waits for enough capacity, small requests could otherwise take all capacity that is released.
func TestSmallRequestsDoNotStarveLargeOne(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		a, requirements := newAdmitter()
		timing := railbackend.Timing{StepTime: 9 * time.Millisecond, StepsPerPass: 5, PrefillTokensPerSecond: 19_000}
		requirements.Backend.Engine = &railbackend.Engine{Slots: 16, Timing: timing}
		a.Fleet.SetInstances([]railinstance.Instance{{ID: "1", Service: "orders", Address: "10.0.0.1:1", Slots: 16, WeightsVersion: 1}})
		requirements.PromptTokens, requirements.StartWithin = 4000, 500*time.Millisecond
		first, err := a.Acquire(t.Context(), requirements, 1, customer, time.Now())
		qt.Assert(t, err, qt.IsNil)
		second, err := a.Acquire(t.Context(), requirements, 1, customer, time.Now())
		qt.Check(t, err, qt.IsNil)
		order := make(chan string, 2)
		for _, c := range []struct {
			name         string
			promptTokens int
		}{{"large", 4000}, {"small", 10}} {
			waiting := requirements
			waiting.PromptTokens = c.promptTokens
			waiting.MaxEventGap = 400 * time.Millisecond // The prefill of the two running requests stalls decoding for longer.
			go func() {
				if _, err := a.Acquire(t.Context(), waiting, 1, customer, time.Now().Add(time.Second)); err == nil {
					order <- c.name
				}
			}()
			time.Sleep(time.Millisecond)
		}
		first.Started() // There is capacity for the small request now.
		time.Sleep(10 * time.Millisecond)
		qt.Check(t, len(order), qt.Equals, 0)
		second.Started()
		time.Sleep(10 * time.Millisecond)
		qt.Check(t, len(order), qt.Equals, 2)
	})
}

func TestCanceledWaiterLeaksNoCapacity(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		a, requirements := newAdmitter()
		leases := acquireAll(t, a, requirements)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			_, err := a.Acquire(ctx, requirements, 1, customer, time.Now().Add(time.Second))
			done <- err
		}()
		time.Sleep(time.Millisecond)
		cancel()
		qt.Check(t, <-done, qt.ErrorIs, context.Canceled)
		qt.Check(t, a.Waiting(), qt.Equals, 0)
		leases[0].Done(railfleet.Answered)
		_, err := a.Acquire(t.Context(), requirements, 1, customer, time.Now())
		qt.Check(t, err, qt.IsNil)
	})
}

// Guards against queued requests that are sent to an endpoint which has said meanwhile that it leaves, or wait for one that wants none until
// their time is over.
func TestQueuedRequestFollowsWhatEndpointsSayOfThemselves(t *testing.T) {
	for name, c := range map[string]struct {
		say  func(l *railfleet.Lease)
		err  error
		wait time.Duration
	}{
		"nothing":                   {func(*railfleet.Lease) {}, nil, 0},
		"leaving":                   {(*railfleet.Lease).RecordLeaving, railadmitter.ErrBusy, time.Second},
		"a pause that ends in time": {func(l *railfleet.Lease) { l.RecordPause(500 * time.Millisecond) }, nil, 500 * time.Millisecond},
		"a pause that ends later":   {func(l *railfleet.Lease) { l.RecordPause(3 * time.Second) }, railadmitter.ErrPaused, 0},
		"a pause, and then that it leaves": {func(l *railfleet.Lease) {
			l.RecordPause(500 * time.Millisecond)
			l.RecordLeaving()
		}, railadmitter.ErrBusy, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				a, requirements := newAdmitter()
				leases := acquireAll(t, a, requirements)
				start, result := time.Now(), make(chan error, 1)
				go func() {
					_, err := a.Acquire(t.Context(), requirements, 1, customer, start.Add(time.Second))
					result <- err
				}()
				time.Sleep(time.Millisecond) // Until the request is queued.
				c.say(leases[0])
				for _, l := range leases {
					l.Done(railfleet.Answered)
				}
				if c.err == nil {
					qt.Check(t, <-result, qt.IsNil)
				} else {
					qt.Check(t, <-result, qt.ErrorIs, c.err)
				}
				waited := time.Since(start)
				qt.Check(t, waited >= c.wait && waited < c.wait+2*pollInterval, qt.IsTrue, qt.Commentf("%s", waited))
			})
		})
	}
}

// Guards against capacity that is granted to a request which the configuration has dropped while it waited, and against one that learns that only
// once its turn has come.
func TestDroppedRequestIsNotGrantedCapacity(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		a, requirements := newAdmitter()
		leases := acquireAll(t, a, requirements)
		var dropped atomic.Bool
		errDropped := errors.New("dropped")
		droppable := requirements
		droppable.Dropped = func() error {
			if dropped.Load() {
				return errDropped
			}
			return nil
		}
		type result struct {
			lease *railfleet.Lease
			err   error
		}
		acquire := func(r railfleet.Requirements) chan result {
			results := make(chan result, 1)
			go func() {
				l, err := a.Acquire(t.Context(), r, 1, customer, time.Now().Add(5*time.Second))
				results <- result{l, err}
			}()
			synctest.Wait()
			return results
		}
		first, second, _, behind := acquire(droppable), acquire(requirements), acquire(requirements), acquire(droppable)
		time.Sleep(time.Second) // All waiting requests have just been checked.
		dropped.Store(true)
		leases[0].Done(railfleet.Answered)
		qt.Check(t, (<-first).err, qt.ErrorIs, errDropped)
		qt.Check(t, (<-second).err, qt.IsNil)
		start := time.Now()
		qt.Check(t, (<-behind).err, qt.ErrorIs, errDropped)
		qt.Check(t, time.Since(start) < 200*time.Millisecond, qt.IsTrue)
		_, err := a.Acquire(t.Context(), droppable, 1, customer, time.Now().Add(time.Second))
		qt.Check(t, err, qt.ErrorIs, errDropped)
	})
}
