package railadmitter_test

import (
	"fmt"
	"log/slog"
	"sync"
	"testing"
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
	limitedLoadTime = 20 * time.Second
	// limitedPerSecond is the demand, and limitedWait the time for which a request may wait.
	limitedPerSecond = 20
	limitedWait      = time.Second
)

// newLimitedAdmitter returns an admitter for endpoints of which each but those with a limit of 0 has named its limit.
func newLimitedAdmitter(t *testing.T, limits ...float64) (*railadmitter.Admitter, railfleet.Requirements) {
	t.Helper()
	f := &railfleet.Fleet{Share: func(_ string, total int) int { return total }, OnChange: func() {}, Log: slog.New(slog.DiscardHandler)}
	var list []railinstance.Instance
	for i := range limits {
		list = append(list, railinstance.Instance{ID: fmt.Sprint(i), Service: "orders", Address: fmt.Sprint(i), Slots: 16})
	}
	f.SetInstances(list)
	requirements := railfleet.Requirements{
		Backend: railbackend.Backend{Name: "orders"}, StartWithin: time.Second,
		RegionAllowed: func(string) bool { return true }, ZoneOut: func(string) bool { return false },
	}
	for range limits {
		l, ok := f.Reserve(requirements)
		qt.Assert(t, ok, qt.IsTrue)
		var i int
		_, err := fmt.Sscan(l.Instance.ID, &i)
		qt.Assert(t, err, qt.IsNil)
		if limits[i] > 0 {
			l.RecordLimit(limits[i])
		}
		defer l.Done(railfleet.Answered)
	}
	a := &railadmitter.Admitter{Fleet: f}
	f.OnChange = a.Wake
	return a, requirements
}

// limitedResult counts what became of requests.
type limitedResult struct {
	mu                                 sync.Mutex
	asked, served, atOnce, late, other int
}

func (r *limitedResult) count(err error, waited time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked++
	switch {
	case err == nil:
		r.served++
	case !errors.Is(err, railadmitter.ErrLimited):
		r.other++
	case waited == 0:
		r.atOnce++
	default:
		r.late++
	}
}

// playLimited plays a constant demand of some customers.
func playLimited(t *testing.T, a *railadmitter.Admitter, requirements railfleet.Requirements, customers int) *limitedResult {
	result := &limitedResult{}
	var wg sync.WaitGroup
	for i := range int(limitedLoadTime.Seconds() * limitedPerSecond) {
		time.Sleep(time.Second / limitedPerSecond)
		wg.Go(func() {
			start := time.Now()
			l, err := a.Acquire(t.Context(), requirements, 1, fmt.Sprint(i%customers), start.Add(limitedWait))
			result.count(err, time.Since(start))
			if err == nil {
				time.Sleep(100 * time.Millisecond)
				l.Done(railfleet.Answered)
			}
		})
	}
	wg.Wait()
	return result
}

// The pattern of a demand far above the limits that all endpoints have named. Guards against requests that wait until their time is over though
// it is known when they come that the limits leave no place for them.
func TestRequestsBeyondLimitsAreRejectedAtOnce(t *testing.T) {
	for customers, maxLate := range map[int]int{1: 0, 5: 40} { // Customers in turn: a place may go to one who comes later.
		t.Run(fmt.Sprint(customers, " customers"), func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				a, requirements := newLimitedAdmitter(t, 1, 2)
				r := playLimited(t, a, requirements, customers)
				taken := 3 * limitedLoadTime.Seconds()
				qt.Check(t, float64(r.served) >= 0.95*taken && float64(r.served) <= taken+4, qt.IsTrue, qt.Commentf("%d served, the limits allow %v", r.served, taken))
				qt.Check(t, r.late <= maxLate, qt.IsTrue, qt.Commentf("%d of %d", r.late, r.asked))
				qt.Check(t, r.other, qt.Equals, 0)
				qt.Check(t, r.atOnce, qt.Equals, r.asked-r.served-r.late)
			})
		})
	}
}

// Guards against refusals because of some endpoints' limits while another endpoint has room.
func TestNobodyIsRejectedWhileAnEndpointWithoutLimitHasRoom(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		a, requirements := newLimitedAdmitter(t, 1, 2, 0)
		r := playLimited(t, a, requirements, 5)
		qt.Check(t, r.served, qt.Equals, r.asked)
	})
}

func TestRejectionTellsWhenTheFirstLimitLeavesRoom(t *testing.T) {
	for name, c := range map[string]struct {
		share     int
		remaining time.Duration
	}{
		"a share that is used":                   {1, 4 * time.Second},
		"no share, so that others may have room": {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				a, requirements := newLimitedAdmitter(t, 1)
				time.Sleep(4 * time.Second) // The share counts as used when the limit begins.
				a.Fleet.Share = func(string, int) int { return c.share }
				if c.share > 0 {
					_, err := a.Acquire(t.Context(), requirements, 1, customer, time.Now())
					qt.Assert(t, err, qt.IsNil)
				}
				_, err := a.Acquire(t.Context(), requirements, 1, customer, time.Now().Add(limitedWait))
				var rejection *railadmitter.RejectionError
				qt.Assert(t, errors.As(err, &rejection), qt.IsTrue)
				qt.Check(t, err, qt.ErrorIs, railadmitter.ErrLimited)
				qt.Check(t, rejection.PauseRemaining, qt.Equals, c.remaining)
				qt.Check(t, rejection.Limited, qt.Equals, 1)
			})
		})
	}
}
