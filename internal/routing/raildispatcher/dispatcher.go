package raildispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/limit/railqueue"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/routing/railcandidate"
	"github.com/fulmarrail/fulmarrail/internal/routing/railchooser"
)

const (
	rateWindow = time.Second
	rateWeight = 0.3
	// waitShare is the share of the time left that the wait and the quickest answer may take by estimate.
	waitShare = 0.75
)

var (
	// ErrQueueFull means that the queue is full of requests that go first.
	ErrQueueFull = errors.New("too many requests wait")
	// ErrDeadline means that the request's deadline can't be met.
	ErrDeadline = errors.New("the deadline can't be met")
)

type waiter struct {
	request railrequest.Request
	outcome chan outcome
}

// outcome ends a wait: with an endpoint, or with the reason for which there is none.
type outcome struct {
	candidate railcandidate.Candidate
	err       error
}

// Dispatcher grants endpoints to the requests of one service; its fields are set before its first use.
type Dispatcher struct {
	Chooser railchooser.Chooser
	// Candidates returns the endpoints that may get new work now.
	Candidates func() []railcandidate.Candidate
	// RecordSent notes that a request is on its way to an endpoint.
	RecordSent func(name string)
	// RecordUnsent takes that back for a request that is not sent after all.
	RecordUnsent func(name string)

	mu        sync.Mutex
	queue     railqueue.Queue[*waiter]
	completed int
	windowAt  time.Time
	perSecond float64
	// pace holds the quickest answers by priority, since endpoints honour priorities.
	pace map[int]*pace
}

// Acquire waits for an endpoint with room, or returns ErrFull or ErrLate; both mean that the request was not run. When the
// request is back from an endpoint that had no room after all, it keeps its place.
func (d *Dispatcher) Acquire(ctx context.Context, req railrequest.Request, capacity int, back bool) (railcandidate.Candidate, error) {
	d.mu.Lock()
	d.queue.Capacity = capacity
	if d.queue.Len() == 0 || back {
		if c, ok := d.choose(req); ok {
			d.mu.Unlock()
			return c, nil
		}
	}
	if !back && d.tooLate(req) {
		d.mu.Unlock()
		return railcandidate.Candidate{}, ErrDeadline
	}
	w := &waiter{request: req, outcome: make(chan outcome, 1)}
	push := d.queue.Push
	if back {
		push = d.queue.Requeue
	}
	if out, full := push(w, req.Priority, req.Customer, req.Weight); full {
		out.outcome <- outcome{err: ErrQueueFull}
	}
	d.mu.Unlock()
	return d.wait(ctx, w)
}

// Wake grants endpoints to waiting requests as far as there is room. While others wait, a request that would be cut off by
// its deadline even if it were the quickest gets none.
func (d *Dispatcher) Wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for {
		w, ok := d.queue.Peek()
		if !ok {
			return
		}
		if now.Add(d.paceOf(w.request.Priority).needed(now)).After(w.request.Deadline) {
			d.queue.DiscardFirst()
			w.outcome <- outcome{err: ErrDeadline}
			continue
		}
		c, ok := d.choose(w.request)
		if !ok {
			return
		}
		d.queue.Pop()
		w.outcome <- outcome{candidate: c}
	}
}

// RecordCompletion notes a whole answer that took the given time from the grant on; the time in the queue is estimated from it.
func (d *Dispatcher) RecordCompletion(priority int, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.completed++
	d.measure(now)
	d.paceOf(priority).note(now, took)
}

// Waiting returns the number of waiting requests.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Len()
}

func (d *Dispatcher) wait(ctx context.Context, w *waiter) (railcandidate.Candidate, error) {
	select {
	case o := <-w.outcome:
		return o.candidate, o.err
	case <-ctx.Done():
	}
	d.mu.Lock()
	removed := d.queue.RemoveFunc(func(other *waiter) bool { return other == w })
	d.mu.Unlock()
	if removed == 0 {
		if o := <-w.outcome; o.err == nil {
			d.RecordUnsent(o.candidate.Member.Name)
			d.Wake()
		}
	}
	return railcandidate.Candidate{}, ErrDeadline
}

func (d *Dispatcher) choose(req railrequest.Request) (railcandidate.Candidate, bool) {
	c, ok := d.Chooser.Choose(req.Affinity, d.Candidates())
	if ok {
		d.RecordSent(c.Member.Name)
	}
	return c, ok
}

// tooLate reports whether the requests that go before this one would take longer than it can wait.
func (d *Dispatcher) tooLate(req railrequest.Request) bool {
	now := time.Now()
	d.measure(now)
	if d.perSecond <= 0 {
		return false
	}
	ahead := d.queue.CountAhead(req.Priority, req.Customer, req.Weight)
	wait := time.Duration(float64(ahead) / d.perSecond * float64(time.Second))
	needed := d.paceOf(req.Priority).needed(now)
	return wait+needed > time.Duration(waitShare*float64(req.Deadline.Sub(now)))
}

func (d *Dispatcher) paceOf(priority int) *pace {
	if d.pace == nil {
		d.pace = map[int]*pace{}
	}
	p := d.pace[priority]
	if p == nil {
		p = &pace{}
		d.pace[priority] = p
	}
	return p
}

func (d *Dispatcher) measure(now time.Time) {
	if d.windowAt.IsZero() {
		d.windowAt = now
	}
	passed := now.Sub(d.windowAt)
	if passed < rateWindow {
		return
	}
	rate := float64(d.completed) / passed.Seconds()
	if d.perSecond == 0 {
		d.perSecond = rate
	}
	d.perSecond += rateWeight * (rate - d.perSecond)
	d.completed, d.windowAt = 0, now
}
