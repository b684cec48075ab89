package railadmitter_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/routing/railadmitter"
)

// newAdmitter returns an admitter of one plain endpoint that takes few requests at once.
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

// fill takes every place and returns the leases.
func fill(t *testing.T, a *railadmitter.Admitter, need railfleet.Requirements) []*railfleet.Lease {
	var all []*railfleet.Lease
	for {
		l, err := a.Acquire(t.Context(), need, 1, time.Now())
		if err != nil {
			return all
		}
		all = append(all, l)
	}
}

func TestARequestThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		a, need := newAdmitter()
		fill(t, a, need)
		for range 20 {
			go func() { _, _ = a.Acquire(t.Context(), need, 1, time.Now().Add(5*time.Second)) }()
		}
		time.Sleep(10 * time.Millisecond)
		began := time.Now()
		_, err := a.Acquire(t.Context(), need, 1, began.Add(100*time.Millisecond))
		qt.Check(t, err, qt.ErrorIs, railadmitter.ErrBusy)
		qt.Check(t, time.Since(began), qt.Equals, time.Duration(0))
	})
}

func TestTheMoreUrgentGoesFirst(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		a, need := newAdmitter()
		leases := fill(t, a, need)
		order := make(chan int, 2)
		for _, rank := range []int{2, 0} {
			go func() {
				if _, err := a.Acquire(t.Context(), need, rank, time.Now().Add(time.Second)); err == nil {
					order <- rank
				}
			}()
			time.Sleep(time.Millisecond)
		}
		leases[0].Done(railfleet.Answered)
		qt.Check(t, <-order, qt.Equals, 0)
	})
}

// Small requests would take every place that becomes free while a large one waits for more room than that.
func TestALargeRequestIsNotPassedBySmallOnes(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		a, need := newAdmitter()
		timing := railbackend.Timing{Step: 9 * time.Millisecond, Stride: 5, ReadPerSecond: 19_000}
		need.Backend.Engine = &railbackend.Engine{Slots: 16, Timing: timing}
		a.Fleet.SetInstances([]railinstance.Instance{{ID: "1", Service: "orders", Address: "10.0.0.1:1", Slots: 16, WeightsVersion: 1}})
		need.PromptTokens, need.StartWithin = 4000, 500*time.Millisecond
		first, err := a.Acquire(t.Context(), need, 1, time.Now())
		qt.Assert(t, err, qt.IsNil)
		second, err := a.Acquire(t.Context(), need, 1, time.Now())
		qt.Check(t, err, qt.IsNil)
		order := make(chan string, 2)
		for _, c := range []struct {
			name   string
			prompt int
		}{{"large", 4000}, {"small", 10}} {
			waiting := need
			waiting.PromptTokens = c.prompt
			waiting.MaxEventGap = 400 * time.Millisecond // Both prompts that are read now pause the answers longer than that.
			go func() {
				if _, err := a.Acquire(t.Context(), waiting, 1, time.Now().Add(time.Second)); err == nil {
					order <- c.name
				}
			}()
			time.Sleep(time.Millisecond)
		}
		first.Started() // There is room for the small one now.
		time.Sleep(10 * time.Millisecond)
		qt.Check(t, len(order), qt.Equals, 0)
		second.Started()
		time.Sleep(10 * time.Millisecond)
		qt.Check(t, len(order), qt.Equals, 2)
	})
}

func TestAPlaceGrantedToACallerThatLeftIsGivenBack(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		a, need := newAdmitter()
		leases := fill(t, a, need)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			_, err := a.Acquire(ctx, need, 1, time.Now().Add(time.Second))
			done <- err
		}()
		time.Sleep(time.Millisecond)
		cancel()
		qt.Check(t, <-done, qt.ErrorIs, context.Canceled)
		qt.Check(t, a.Waiting(), qt.Equals, 0)
		leases[0].Done(railfleet.Answered)
		_, err := a.Acquire(t.Context(), need, 1, time.Now())
		qt.Check(t, err, qt.IsNil)
	})
}
