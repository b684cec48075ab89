package raildispatcher

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/limit/railqueue"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/routing/railcandidate"
	"github.com/fulmarrail/fulmarrail/internal/routing/railchooser"
)

const (
	rateWindow    = time.Second
	rateSmoothing = 0.3
	// deadlineShare is the share of the time until the deadline that the estimated wait and the fastest response together may take.
	deadlineShare = 0.75

	// unitWaiting and unitWake are the kinds of work in which a panic is contained.
	unitWaiting = "waiting request"
	unitWake    = "retry of waiting requests"
)

var (
	// ErrQueueFull means that the queue is full of requests that precede this one.
	ErrQueueFull = errors.New("too many requests wait")
	// ErrDeadline means that the request can't complete before its deadline, or that its context is done.
	ErrDeadline = errors.New("the deadline can't be met")

	errChoiceFailed = errors.New("the choice of an endpoint has failed")
)

// PausedError means that all endpoints have asked for no requests, or take no further ones, until it is too late for the request.
type PausedError struct {
	// Remaining is the time until the first endpoint takes requests again.
	Remaining time.Duration
}

// Error describes the rejection.
func (e *PausedError) Error() string {
	return "no endpoint takes further requests in time"
}

type waiter struct {
	request railrequest.Request
	result  chan result
}

// result is the endpoint that a waiting request was granted, or the reason why it was rejected.
type result struct {
	candidate railcandidate.Candidate
	err       error
}

// Dispatcher grants endpoints to the requests of one service. Its exported fields must be set before first use. It is safe for
// concurrent use.
type Dispatcher struct {
	Chooser railchooser.Chooser
	// Candidates returns the endpoints that accept new requests.
	Candidates func() []railcandidate.Candidate
	// RecordSent records that a request is being sent to an endpoint.
	RecordSent func(name string)
	// RecordUnsent reverts RecordSent for a request that isn't sent after all.
	RecordUnsent func(name string)
	// FirstPauseEnd returns the time at which the first endpoint takes requests again, or false unless all endpoints have asked for none, or have
	// got as many as they take. It may be nil.
	FirstPauseEnd func() (time.Time, bool)
	// Unservable returns the reason why no endpoint will ever serve a customer's requests to the service, or nil. It may be nil itself.
	Unservable func(customer string) error
	// Revision returns a number that is another one once Unservable may return another reason. If it is nil, that may be at any time.
	Revision func() uint64
	// Log gets a line for a panic in the choice of an endpoint. Without it, that goes to the default log.
	Log *slog.Logger

	mu    sync.Mutex
	queue railqueue.Queue[*waiter]
	// checkedRevision is the revision by which Unservable has been asked about all that wait.
	checkedRevision uint64
	completed       int
	windowStart     time.Time
	completionRate  float64
	// fastest holds the shortest response times by priority. They differ because endpoints respect priorities.
	fastest map[int]*windowedMinimum
}

// Acquire waits for an endpoint with capacity. It returns ErrQueueFull, ErrDeadline or a PausedError if there is none, ErrDeadline if
// ctx is done, and the error of Unservable. All errors mean that the request was not run. queueCapacity is the maximum number of waiting requests. With requeue, the
// request was granted an endpoint that had no capacity after all, and resumes its position.
func (d *Dispatcher) Acquire(ctx context.Context, req railrequest.Request, queueCapacity int, requeue bool) (railcandidate.Candidate, error) {
	w := &waiter{request: req, result: make(chan result, 1)}
	c, queued, err := d.chooseOrQueue(w, queueCapacity, requeue)
	if queued {
		return d.wait(ctx, w)
	}
	return c, err
}

// chooseOrQueue returns an endpoint with capacity, or reports that the request is queued until there is one.
func (d *Dispatcher) chooseOrQueue(w *waiter, queueCapacity int, requeue bool) (c railcandidate.Candidate, queued bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	req := w.request
	d.queue.Capacity = queueCapacity
	if err := d.unservable(req); err != nil {
		return railcandidate.Candidate{}, false, err
	}
	now := time.Now()
	if requeue && d.endsTooLate(now, req, now) {
		return railcandidate.Candidate{}, false, ErrDeadline
	}
	if d.queue.Len() == 0 || requeue {
		if c, ok := d.choose(req); ok {
			return c, false, nil
		}
	}
	if !requeue && d.missesDeadline(req) {
		return railcandidate.Candidate{}, false, ErrDeadline
	}
	if end, ok := d.pauseEnd(); ok && d.endsTooLate(end, req, now) {
		return railcandidate.Candidate{}, false, &PausedError{Remaining: end.Sub(now)}
	}
	push := d.queue.Push
	if requeue {
		push = d.queue.Requeue
	}
	if evicted, full := push(w, req.Priority, req.Customer, req.Weight); full {
		evicted.result <- result{err: ErrQueueFull}
	}
	return railcandidate.Candidate{}, true, nil
}

// Wake grants endpoints to waiting requests while there is capacity. It rejects requests that would miss their deadline even if
// their response were the fastest, so that they don't use up capacity that others wait for. A panic ends this call only: each waiting request still
// ends by itself at its deadline.
func (d *Dispatcher) Wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer func() { _ = railpanic.Recovered(recover(), d.Log, unitWake) }()
	now := time.Now()
	d.rejectUnservable()
	d.rejectPaused(now)
	for {
		w, ok := d.queue.Peek()
		if !ok {
			return
		}
		if now.Add(d.fastestOf(w.request.Priority).shortest(now)).After(w.request.Deadline) {
			d.queue.DiscardFirst()
			w.result <- result{err: ErrDeadline}
			continue
		}
		c, ok, err := d.chooseContained(w.request)
		if !ok && err == nil {
			return
		}
		d.queue.Pop()
		w.result <- result{candidate: c, err: err}
	}
}

// RecordCompletion records a complete response and its duration since the grant. Queue waits are estimated from these.
func (d *Dispatcher) RecordCompletion(priority int, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.completed++
	d.updateRate(now)
	d.fastestOf(priority).record(now, duration)
}

// Waiting returns the number of waiting requests.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Len()
}

func (d *Dispatcher) wait(ctx context.Context, w *waiter) (railcandidate.Candidate, error) {
	select {
	case r := <-w.result:
		return r.candidate, r.err
	case <-ctx.Done():
	}
	d.mu.Lock()
	removed := d.queue.RemoveFunc(func(other *waiter) bool { return other == w })
	d.mu.Unlock()
	if removed == 0 {
		if r := <-w.result; r.err == nil {
			d.RecordUnsent(r.candidate.Member.Name)
			d.Wake()
		}
	}
	return railcandidate.Candidate{}, ErrDeadline
}

// chooseContained is choose on behalf of a waiting request. A panic is an error that ends the wait of this one only.
func (d *Dispatcher) chooseContained(req railrequest.Request) (c railcandidate.Candidate, ok bool, err error) {
	defer func() {
		if railpanic.Recovered(recover(), d.Log, unitWaiting, "request", req.ID) != nil {
			c, ok, err = railcandidate.Candidate{}, false, errChoiceFailed
		}
	}()
	c, ok = d.choose(req)
	return c, ok, nil
}

func (d *Dispatcher) choose(req railrequest.Request) (railcandidate.Candidate, bool) {
	choose, key := d.Chooser.Choose, req.Affinity
	if req.IsolationKey != "" {
		choose, key = d.Chooser.Isolate, req.IsolationKey
	}
	c, ok := choose(key, d.Candidates())
	if ok {
		d.RecordSent(c.Member.Name)
	}
	return c, ok
}

// pauseEnd returns the time at which the first endpoint takes requests again, or false unless all endpoints have asked for none.
func (d *Dispatcher) pauseEnd() (time.Time, bool) {
	if d.FirstPauseEnd == nil {
		return time.Time{}, false
	}
	return d.FirstPauseEnd()
}

// endsTooLate reports whether even the fastest response to a request that is sent at the given time would miss the request's deadline.
func (d *Dispatcher) endsTooLate(sentAt time.Time, req railrequest.Request, now time.Time) bool {
	return !sentAt.Add(d.fastestOf(req.Priority).shortest(now)).Before(req.Deadline)
}

// rejectPaused rejects the waiting requests that a pause of all endpoints outlasts.
func (d *Dispatcher) rejectPaused(now time.Time) {
	end, ok := d.pauseEnd()
	if !ok {
		return
	}
	paused := &PausedError{Remaining: end.Sub(now)}
	d.rejectWaiting(func(req railrequest.Request) error {
		if d.endsTooLate(end, req, now) {
			return paused
		}
		return nil
	})
}

// rejectUnservable rejects the waiting requests that no endpoint will ever serve, if that may have changed since the last call.
func (d *Dispatcher) rejectUnservable() {
	if d.Revision != nil {
		revision := d.Revision()
		if revision == d.checkedRevision {
			return
		}
		d.checkedRevision = revision
	}
	d.rejectWaiting(d.unservable)
}

// rejectWaiting rejects the waiting requests for which reason returns an error.
func (d *Dispatcher) rejectWaiting(reason func(railrequest.Request) error) {
	d.queue.RemoveFunc(func(w *waiter) bool {
		err := reason(w.request)
		if err != nil {
			w.result <- result{err: err}
		}
		return err != nil
	})
}

func (d *Dispatcher) unservable(req railrequest.Request) error {
	if d.Unservable == nil {
		return nil
	}
	return d.Unservable(req.Customer)
}

// missesDeadline reports whether the request is expected to miss its deadline behind the requests that are served first.
func (d *Dispatcher) missesDeadline(req railrequest.Request) bool {
	now := time.Now()
	d.updateRate(now)
	if d.completionRate <= 0 {
		return false
	}
	ahead := d.queue.CountAhead(req.Priority, req.Customer, req.Weight)
	wait := time.Duration(float64(ahead) / d.completionRate * float64(time.Second))
	fastest := d.fastestOf(req.Priority).shortest(now)
	return wait+fastest > time.Duration(deadlineShare*float64(req.Deadline.Sub(now)))
}

func (d *Dispatcher) fastestOf(priority int) *windowedMinimum {
	if d.fastest == nil {
		d.fastest = map[int]*windowedMinimum{}
	}
	m := d.fastest[priority]
	if m == nil {
		m = &windowedMinimum{}
		d.fastest[priority] = m
	}
	return m
}

// updateRate updates the moving average of completions per second once per window.
func (d *Dispatcher) updateRate(now time.Time) {
	if d.windowStart.IsZero() {
		d.windowStart = now
	}
	elapsed := now.Sub(d.windowStart)
	if elapsed < rateWindow {
		return
	}
	rate := float64(d.completed) / elapsed.Seconds()
	if d.completionRate == 0 {
		d.completionRate = rate
	}
	d.completionRate += rateSmoothing * (rate - d.completionRate)
	d.completed, d.windowStart = 0, now
}
