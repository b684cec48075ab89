package raildispatcher_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/routing/railcandidate"
	"github.com/fulmarrail/fulmarrail/internal/routing/railchooser"
	"github.com/fulmarrail/fulmarrail/internal/routing/raildispatcher"
)

// endpoint is one endpoint that serves one request at a time; one more waits there already unless nobody does.
type endpoint struct {
	mu         sync.Mutex
	busy       int
	nobodyElse bool
}

func (e *endpoint) candidates() []railcandidate.Candidate {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := railcandidate.Candidate{Member: railmember.Member{Name: "e", Zone: "a"}, Limit: 1, Running: e.busy, AwaitingDecision: 1}
	if e.nobodyElse {
		c.AwaitingDecision = 0
	}
	return []railcandidate.Candidate{c}
}

func (e *endpoint) add(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy += n
}

func newDispatcher(e *endpoint) *raildispatcher.Dispatcher {
	return &raildispatcher.Dispatcher{
		Chooser:    railchooser.Chooser{Zone: "a", Random: rand.New(rand.NewPCG(1, 1))},
		Candidates: e.candidates, RecordSent: func(string) { e.add(1) },
	}
}

func TestWaitingRequestGetsTheEndpointOnceThereIsRoom(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := &endpoint{}
		d := newDispatcher(e)
		req := railrequest.Request{Customer: "castle", Weight: 1, Deadline: time.Now().Add(time.Minute)}
		_, err := d.Acquire(t.Context(), req, 10, false)
		c.Assert(err, qt.IsNil)
		got := make(chan error)
		go func() {
			_, err := d.Acquire(t.Context(), req, 10, false)
			got <- err
		}()
		synctest.Wait()
		c.Check(d.Waiting(), qt.Equals, 1)
		e.add(-1)
		d.Wake()
		c.Check(<-got, qt.IsNil)
	})
}

func TestOneRequestMayWaitAtAFullEndpoint(t *testing.T) {
	c := qt.New(t)
	e := &endpoint{nobodyElse: true}
	e.add(1)
	d := newDispatcher(e)
	req := railrequest.Request{Customer: "castle", Weight: 1, Deadline: time.Now().Add(time.Minute)}
	_, err := d.Acquire(t.Context(), req, 10, false)
	c.Check(err, qt.IsNil)
}

func TestEndpointGrantedAtTheMomentOfTheDeadlineIsGivenBack(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := &endpoint{}
		e.add(1)
		d := newDispatcher(e)
		var settled atomic.Int32
		d.RecordUnsent = func(string) { settled.Add(1) }
		ctx, cancel := context.WithCancel(t.Context())
		got := make(chan error)
		go func() {
			_, err := d.Acquire(ctx, railrequest.Request{Customer: "castle", Deadline: time.Now().Add(time.Hour)}, 10, false)
			got <- err
		}()
		synctest.Wait()
		// The waiter has been told of its deadline but has not run yet when the endpoint is granted.
		cancel()
		e.add(-1)
		d.Wake()
		c.Check(<-got, qt.ErrorIs, raildispatcher.ErrDeadline)
		c.Check(settled.Load(), qt.Equals, int32(1))
	})
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedEarly(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := &endpoint{}
		e.add(1)
		d := newDispatcher(e)
		ctx, cancel := context.WithCancel(t.Context())
		for range 30 { // One request a second is completed.
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
		began := time.Now()
		_, err := d.Acquire(ctx, railrequest.Request{Customer: "a", Deadline: time.Now().Add(5 * time.Second)}, 100, false)
		c.Check(err, qt.ErrorIs, raildispatcher.ErrDeadline)
		c.Check(time.Since(began), qt.Equals, time.Duration(0))
		// Another customer, and an urgent request of the same one, go before those that wait.
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

func TestFullQueueRefusesTheLowestPriority(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
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
