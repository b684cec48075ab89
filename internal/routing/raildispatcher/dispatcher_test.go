package raildispatcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/routing/railcandidate"
	"github.com/fulmarrail/fulmarrail/internal/routing/railchooser"
	"github.com/fulmarrail/fulmarrail/internal/routing/raildispatcher"
)

// endpoint serves one request at a time. Another request already waits there unless noWaiter is set.
type endpoint struct {
	mu       sync.Mutex
	running  int
	noWaiter bool
}

func (e *endpoint) candidates() []railcandidate.Candidate {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := railcandidate.Candidate{Member: railmember.Member{Name: "e", Zone: "a"}, Limit: 1, Running: e.running, AwaitingDecision: 1}
	if e.noWaiter {
		c.AwaitingDecision = 0
	}
	return []railcandidate.Candidate{c}
}

func (e *endpoint) add(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += n
}

func newDispatcher(e *endpoint) *raildispatcher.Dispatcher {
	return &raildispatcher.Dispatcher{
		Chooser:    railchooser.Chooser{Zone: "a", Random: rand.New(rand.NewPCG(1, 1))},
		Candidates: e.candidates, RecordSent: func(string) { e.add(1) },
	}
}

func TestWaitingRequestIsGrantedReleasedCapacity(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := &endpoint{}
		d := newDispatcher(e)
		req := railrequest.Request{Customer: "castle", Weight: 1, Deadline: time.Now().Add(time.Minute)}
		_, err := d.Acquire(t.Context(), req, 10, false)
		c.Assert(err, qt.IsNil)
		result := make(chan error)
		go func() {
			_, err := d.Acquire(t.Context(), req, 10, false)
			result <- err
		}()
		synctest.Wait()
		c.Check(d.Waiting(), qt.Equals, 1)
		e.add(-1)
		d.Wake()
		c.Check(<-result, qt.IsNil)
	})
}

func TestFullEndpointAcceptsOneWaiter(t *testing.T) {
	c := qt.New(t)
	e := &endpoint{noWaiter: true}
	e.add(1)
	d := newDispatcher(e)
	req := railrequest.Request{Customer: "castle", Weight: 1, Deadline: time.Now().Add(time.Minute)}
	_, err := d.Acquire(t.Context(), req, 10, false)
	c.Check(err, qt.IsNil)
}

func TestGrantConcurrentWithCancellationIsReleased(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := &endpoint{}
		e.add(1)
		d := newDispatcher(e)
		var unsent atomic.Int32
		d.RecordUnsent = func(string) { unsent.Add(1) }
		ctx, cancel := context.WithCancel(t.Context())
		result := make(chan error)
		go func() {
			_, err := d.Acquire(ctx, railrequest.Request{Customer: "castle", Deadline: time.Now().Add(time.Hour)}, 10, false)
			result <- err
		}()
		synctest.Wait()
		// The endpoint is granted after the waiter's context is done and before its goroutine runs.
		cancel()
		e.add(-1)
		d.Wake()
		c.Check(<-result, qt.ErrorIs, raildispatcher.ErrDeadline)
		c.Check(unsent.Load(), qt.Equals, int32(1))
	})
}

func TestRequestThatCannotMeetDeadlineIsRejectedImmediately(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := &endpoint{}
		e.add(1)
		d := newDispatcher(e)
		ctx, cancel := context.WithCancel(t.Context())
		for range 30 { // One request per second completes.
			d.RecordCompletion(0, time.Second)
			time.Sleep(time.Second)
		}
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				_, err := d.Acquire(ctx, railrequest.Request{Customer: "a", Deadline: time.Now().Add(time.Hour)}, 100, false)
				c.Check(err, qt.ErrorIs, raildispatcher.ErrDeadline)
			})
		}
		synctest.Wait()
		start := time.Now()
		_, err := d.Acquire(ctx, railrequest.Request{Customer: "a", Deadline: time.Now().Add(5 * time.Second)}, 100, false)
		c.Check(err, qt.ErrorIs, raildispatcher.ErrDeadline)
		c.Check(time.Since(start), qt.Equals, time.Duration(0))
		// Requests of another customer and urgent requests of the same customer precede those that wait.
		for _, req := range []railrequest.Request{{Customer: "b"}, {Customer: "a", Priority: 9}} {
			req.Deadline = time.Now().Add(5 * time.Second)
			waiting := d.Waiting()
			wg.Go(func() {
				_, err := d.Acquire(ctx, req, 100, false)
				c.Check(err, qt.ErrorIs, raildispatcher.ErrDeadline)
			})
			synctest.Wait()
			c.Check(d.Waiting(), qt.Equals, waiting+1, qt.Commentf("%+v", req))
		}
		cancel()
		wg.Wait()
	})
}

func TestFullQueueEvictsLowestPriority(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := &endpoint{}
		e.add(1)
		d := newDispatcher(e)
		ctx, cancel := context.WithCancel(t.Context())
		low := make(chan error, 1)
		go func() {
			_, err := d.Acquire(ctx, railrequest.Request{Customer: "a", Priority: 1, Deadline: time.Now().Add(time.Hour)}, 1, false)
			low <- err
		}()
		synctest.Wait()
		high := make(chan error, 1)
		go func() {
			_, err := d.Acquire(ctx, railrequest.Request{Customer: "b", Priority: 9, Deadline: time.Now().Add(time.Hour)}, 1, false)
			high <- err
		}()
		c.Check(<-low, qt.ErrorIs, raildispatcher.ErrQueueFull)
		e.add(-1)
		d.Wake()
		c.Check(<-high, qt.IsNil)
		cancel()
	})
}

// Guards against suspected requests that end one engine for each entry, since each entry prefers the engines of its own zone.
func TestEntriesOfAllZonesIsolateRequestsAtOneEndpoint(t *testing.T) {
	c := qt.New(t)
	candidates := []railcandidate.Candidate{
		{Member: railmember.Member{Name: "full", Zone: "a"}, Limit: 1, Running: 1},
		{Member: railmember.Member{Name: "a1", Zone: "a"}, Limit: 1},
		{Member: railmember.Member{Name: "a2", Zone: "a"}, Limit: 1},
		{Member: railmember.Member{Name: "b1", Zone: "b"}, Limit: 1, RoundTrip: time.Second},
		{Member: railmember.Member{Name: "b2", Zone: "b"}, Limit: 1, RoundTrip: time.Second},
	}
	chosen := map[string]bool{}
	for n := range 20 {
		req := railrequest.Request{Customer: "castle", Weight: 1, Deadline: time.Now().Add(time.Minute), IsolationKey: fmt.Sprint("part", n)}
		names := map[string]bool{}
		for _, zone := range []string{"a", "b"} {
			d := &raildispatcher.Dispatcher{
				Chooser:    railchooser.Chooser{Zone: zone, Random: rand.New(rand.NewPCG(1, 1))},
				Candidates: func() []railcandidate.Candidate { return candidates }, RecordSent: func(string) {},
			}
			candidate, err := d.Acquire(t.Context(), req, 10, false)
			c.Assert(err, qt.IsNil)
			names[candidate.Member.Name], chosen[candidate.Member.Name] = true, true
		}
		c.Check(names, qt.HasLen, 1)
	}
	c.Check(chosen, qt.DeepEquals, map[string]bool{"a1": true, "a2": true, "b1": true, "b2": true})
}

// Guards against requests that wait until their deadline for endpoints that have all asked for none until later.
func TestRequestThatAPauseOfAllEndpointsOutlastsIsRejectedAtOnce(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		var end time.Time
		d := newDispatcher(&endpoint{running: 1})
		d.FirstPauseEnd = func() (time.Time, bool) { return end, !end.IsZero() }
		results := make(chan error, 2)
		acquire := func(timeout time.Duration) {
			req := railrequest.Request{Customer: "castle", Weight: 1, Deadline: time.Now().Add(timeout)}
			_, err := d.Acquire(t.Context(), req, 10, false)
			results <- err
		}
		go acquire(time.Second)
		go acquire(time.Minute)
		synctest.Wait()
		end = time.Now().Add(3 * time.Second)
		d.Wake()
		var paused *raildispatcher.PausedError
		qt.Assert(t, <-results, qt.ErrorAs, &paused)
		qt.Check(t, paused.Remaining, qt.Equals, 3*time.Second)
		qt.Check(t, d.Waiting(), qt.Equals, 1, qt.Commentf("a request with more time waits for the end of the pause"))
		acquire(2 * time.Second)
		qt.Check(t, <-results, qt.ErrorAs, &paused)
		qt.Check(t, d.Waiting(), qt.Equals, 1)
	})
}

// Guards against a request that an endpoint has rejected for lack of capacity, and that is sent to the next one so late that its deadline cuts off
// the response.
func TestRequeuedRequestWithTooLittleTimeIsRejected(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		d := newDispatcher(&endpoint{})
		d.RecordCompletion(0, time.Second)
		req := railrequest.Request{Customer: "castle", Weight: 1, Deadline: time.Now().Add(900 * time.Millisecond)}
		_, err := d.Acquire(t.Context(), req, 10, true)
		qt.Check(t, err, qt.ErrorIs, raildispatcher.ErrDeadline)
		req.Deadline = time.Now().Add(1100 * time.Millisecond)
		_, err = d.Acquire(t.Context(), req, 10, true)
		qt.Check(t, err, qt.IsNil)
	})
}

// Guards against requests that wait until their deadline for a service that a new configuration has dropped.
func TestWaitingRequestsOfADroppedServiceAreRejectedAtOnce(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var dropped atomic.Bool
		errDropped := errors.New("dropped")
		d := newDispatcher(&endpoint{running: 1})
		d.Unservable = func(string) error {
			if dropped.Load() {
				return errDropped
			}
			return nil
		}
		req := railrequest.Request{Customer: "castle", Weight: 1, Deadline: time.Now().Add(time.Minute)}
		results := make(chan error)
		for range 3 {
			go func() {
				_, err := d.Acquire(t.Context(), req, 10, false)
				results <- err
			}()
		}
		synctest.Wait()
		c.Check(d.Waiting(), qt.Equals, 3)
		start := time.Now()
		dropped.Store(true)
		d.Wake()
		for range 3 {
			c.Check(<-results, qt.Equals, errDropped)
		}
		_, err := d.Acquire(t.Context(), req, 10, false)
		c.Check(err, qt.Equals, errDropped)
		c.Check(time.Since(start), qt.Equals, time.Duration(0))
	})
}
