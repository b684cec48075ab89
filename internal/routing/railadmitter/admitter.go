package railadmitter

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/limit/railqueue"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
)

const (
	// pollInterval is the interval at which waiting requests are retried even if no change was reported.
	pollInterval = 25 * time.Millisecond
	// minWakeInterval is the least time between two retries, however many changes are reported.
	minWakeInterval = 2 * time.Millisecond
	// maxGrantDelay is the longest time until a retry after an endpoint has opened without a change that is reported.
	maxGrantDelay = pollInterval + minWakeInterval
	rateWindow    = time.Second
	// loanWait is the time after which each waiting request is expected to get a loan while other gateways are asked for them.
	loanWait = 50 * time.Millisecond
	// dropCheckInterval is the interval at which all waiting requests are checked for being dropped by the configuration. Those that are to be granted
	// a lease are always checked.
	dropCheckInterval = 100 * time.Millisecond
	// maxWaiting bounds the number of waiting requests. The predicted wait bounds it long before.
	maxWaiting = 1 << 14
	// customerWeight is each customer's weight in the queue.
	customerWeight = 1

	// unitWaiting and unitRetry are the kinds of work in which a panic is contained.
	unitWaiting = "waiting request"
	unitRetry   = "retry of waiting requests"
)

var (
	// ErrBusy means that no endpoint is expected to start the response in time.
	ErrBusy = errors.New("no endpoint can begin the answer in time")
	// ErrNoEndpoint means that no endpoint could take the request, regardless of load.
	ErrNoEndpoint = errors.New("no endpoint may take the request")
	// ErrPaused means that all endpoints that could take the request have asked for no requests for some time, or have just failed.
	ErrPaused = errors.New("all endpoints ask for no requests for now")
	// ErrLimited means that all endpoints that could take the request have named limits, which leave it no place in time.
	ErrLimited = errors.New("the endpoints' limits leave no place in time")
)

// RejectionError is the error of a rejected request. It holds the state of the endpoints and the queue when the request arrived.
type RejectionError struct {
	// Cause is ErrBusy, ErrNoEndpoint, ErrPaused or ErrLimited, or a panic in the choice of an endpoint for the request.
	Cause error
	// Eligible is the number of endpoints that could take the request, regardless of their load. Ahead is the number of waiting
	// requests that precede it.
	Eligible, Ahead int
	// ExpectedWait is the predicted wait behind the requests ahead.
	ExpectedWait time.Duration
	// PauseRemaining is the time until the first endpoint takes requests again, or 0 unless Cause is ErrPaused or ErrLimited, and 0 if other
	// entries may have a place at an endpoint already.
	PauseRemaining time.Duration
	// Limited is the number of endpoints that could take the request and have named limits, and Grants the number of requests that the endpoints
	// take in the request's time. Both are 0 unless Cause is ErrPaused or ErrLimited.
	Limited, Grants int
}

// Error returns the text of the cause.
func (e *RejectionError) Error() string {
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *RejectionError) Unwrap() error {
	return e.Cause
}

// Admitter grants leases on the endpoints of one service. Its exported fields must be set before first use. It is safe for
// concurrent use.
type Admitter struct {
	Fleet *railfleet.Fleet
	// Log gets a line for a panic in the choice of an endpoint. Without it, that goes to the default log.
	Log *slog.Logger

	mu sync.Mutex
	// waiting is nil before the first request waits.
	waiting *railqueue.Queue[*waiter]
	grants  []time.Time
	// retriedAt is the time of the last retry of the waiting requests. polling is set while there are any, and changed if a change was reported
	// since that retry.
	retriedAt        time.Time
	polling, changed bool
	// dropsCheckedAt is the time of the last check of all waiting requests.
	dropsCheckedAt time.Time
}

type waiter struct {
	requirements railfleet.Requirements
	rank         int
	customer     string
	// grantBy is the latest useful time of a grant. requirements.StartWithin is relative to it.
	grantBy time.Time
	granted chan *railfleet.Lease
	// rejected receives the reason if the request can't be granted a lease in time any more.
	rejected chan error
}

// Acquire returns a lease on an endpoint, waiting for it until grantBy at most. Requests of a lower rank are served first, and those of the
// same rank in turn for each customer, so that one customer's requests don't hold up those of others. An error means that the request was not
// run; it is a RejectionError unless ctx is done or the configuration has dropped the request. A request that is dropped while it waits is rejected
// within dropCheckInterval.
func (a *Admitter) Acquire(ctx context.Context, requirements railfleet.Requirements, rank int, customer string, grantBy time.Time) (*railfleet.Lease, error) {
	w := &waiter{requirements: requirements, rank: rank, customer: customer, grantBy: grantBy, granted: make(chan *railfleet.Lease, 1), rejected: make(chan error, 1)}
	lease, rejection, queued := a.reserveOrQueue(w)
	switch {
	case lease != nil:
		return lease, nil
	case queued:
		return a.await(ctx, w, rejection)
	}
	return nil, rejection
}

// reserveOrQueue returns a lease, or else the reason why there is none now, and whether the request is queued until there may be one.
func (a *Admitter) reserveOrQueue(w *waiter) (lease *railfleet.Lease, rejected error, queued bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.init()
	if err := a.dropped(w); err != nil {
		return nil, err, false
	}
	ahead := a.waiting.CountAhead(-w.rank, w.customer, customerWeight)
	if ahead == 0 {
		if l, ok := a.reserve(w.requirements, w.grantBy, now); ok {
			a.recordGrant(now)
			return l, nil, false
		}
	}
	forecast, known := a.Fleet.Forecast(w.requirements, w.grantBy, maxGrantDelay, ahead+1)
	if closed, ok := closedRejection(forecast, known, now, ahead); ok {
		return nil, closed, false
	}
	rejection := &RejectionError{Cause: ErrBusy, Eligible: a.Fleet.CountUsable(w.requirements), Ahead: ahead}
	if !known || !forecast.Bounded {
		rejection.ExpectedWait = a.predictWait(now, ahead) // Limits tell more than the rate of recent grants.
	}
	if forecast.Borrowing {
		rejection.ExpectedWait = min(rejection.ExpectedWait, time.Duration(ahead)*loanWait)
	}
	noEndpoint := rejection.Eligible == 0 && !now.Before(w.grantBy)
	if noEndpoint {
		rejection.Cause = ErrNoEndpoint
	}
	if noEndpoint || rejection.ExpectedWait > w.grantBy.Sub(now) {
		return nil, rejection, false
	}
	if evicted, full := a.waiting.Push(w, -w.rank, w.customer, customerWeight); full {
		evicted.rejected <- &RejectionError{Cause: ErrBusy, Ahead: maxWaiting}
	}
	a.startPolling()
	return nil, rejection, true
}

// Wake grants leases to waiting requests while there is capacity, now or within a few milliseconds.
func (a *Admitter) Wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waitingLen() == 0 {
		return
	}
	now := time.Now()
	if now.Sub(a.retriedAt) < minWakeInterval {
		a.changed = true
		return
	}
	a.retry(now)
}

// startPolling retries the waiting requests from time to time as long as there are any.
func (a *Admitter) startPolling() {
	if !a.polling {
		a.polling = true
		time.AfterFunc(minWakeInterval, a.poll)
	}
}

// poll retries the waiting requests if that is due.
func (a *Admitter) poll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.polling = false
	if a.waiting.Len() == 0 {
		return
	}
	if now := time.Now(); a.changed || now.Sub(a.retriedAt) >= pollInterval {
		a.retry(now)
	}
	a.startPolling()
}

// retry grants leases to waiting requests while there is capacity. A request that can't be granted blocks those behind it, so that small
// requests don't starve large ones, unless no endpoint could take it regardless of load. A panic ends only this retry: each waiting request still ends
// by itself at the end of its wait.
func (a *Admitter) retry(now time.Time) {
	defer func() { _ = railpanic.Recovered(recover(), a.Log, unitRetry) }()
	a.retriedAt, a.changed = now, false
	a.rejectDropped(now)
	var unservable []*waiter
	for {
		w, ok := a.waiting.Peek()
		if !ok {
			break
		}
		l, rejection, usable := a.decide(w, now, len(unservable))
		if l != nil {
			a.waiting.Pop()
			a.recordGrant(now)
			w.granted <- l
			continue
		}
		if rejection != nil {
			a.waiting.DiscardFirst()
			w.rejected <- rejection
			continue
		}
		if usable {
			break
		}
		a.waiting.Pop()
		unservable = append(unservable, w)
	}
	for _, w := range slices.Backward(unservable) {
		a.waiting.Requeue(w, -w.rank, w.customer, customerWeight) // Refunds what Pop has charged.
	}
}

// decide returns a lease for a waiting request, or the reason why it can't get one in time any more, or whether there is an endpoint that may take it
// later. A panic ends the wait of this request only: the retry is made on behalf of all that wait, and often by a request that has just ended.
func (a *Admitter) decide(w *waiter, now time.Time, ahead int) (lease *railfleet.Lease, rejection error, usable bool) {
	defer func() {
		if p := railpanic.Recovered(recover(), a.Log, unitWaiting); p != nil {
			rejection = &RejectionError{Cause: p}
		}
	}()
	if err := a.dropped(w); err != nil {
		return nil, err, true
	}
	if l, ok := a.reserve(w.requirements, w.grantBy, now); ok {
		return l, nil, true
	}
	forecast, known := a.Fleet.Forecast(w.requirements, w.grantBy, maxGrantDelay, ahead+1)
	if closed, ok := closedRejection(forecast, known, now, ahead); ok {
		return nil, closed, true
	}
	return nil, nil, a.Fleet.CountUsable(w.requirements) > 0
}

// rejectDropped rejects all waiting requests that the configuration has dropped, if that is due: those behind the first wait for its turn otherwise.
func (a *Admitter) rejectDropped(now time.Time) {
	if now.Sub(a.dropsCheckedAt) < dropCheckInterval {
		return
	}
	a.dropsCheckedAt = now
	a.waiting.RemoveFunc(func(w *waiter) bool {
		err := a.dropped(w)
		if err != nil {
			w.rejected <- err
		}
		return err != nil
	})
}

// dropped returns the reason why the configuration allows no further attempt for a request, or nil. A panic is such a reason.
func (a *Admitter) dropped(w *waiter) (err error) {
	defer func() {
		if p := railpanic.Recovered(recover(), a.Log, unitWaiting); p != nil {
			err = &RejectionError{Cause: p}
		}
	}()
	if w.requirements.Dropped == nil {
		return nil
	}
	return w.requirements.Dropped()
}

// Waiting returns the number of waiting requests.
func (a *Admitter) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waitingLen()
}

func (a *Admitter) waitingLen() int {
	if a.waiting == nil {
		return 0
	}
	return a.waiting.Len()
}

func (a *Admitter) init() {
	if a.waiting == nil {
		a.waiting = &railqueue.Queue[*waiter]{Capacity: maxWaiting}
	}
}

// closedRejection returns the rejection of a request that no endpoint can take in time, because all that could have asked for no requests until
// later, have just failed, or have named limits that leave no place behind the requests ahead.
func closedRejection(forecast railfleet.Forecast, known bool, now time.Time, ahead int) (*RejectionError, bool) {
	if !known || forecast.Own > 0 && forecast.Total > ahead {
		return nil, false
	}
	rejection := &RejectionError{Cause: ErrPaused, Ahead: ahead, Limited: forecast.Limited, Grants: forecast.Total}
	if forecast.Limited > 0 {
		rejection.Cause = ErrLimited
	}
	if !forecast.Elsewhere && !forecast.OpensAt.IsZero() {
		rejection.PauseRemaining = max(forecast.OpensAt.Sub(now), 0)
	}
	return rejection, true
}

// reserve tries to reserve capacity at an endpoint under the current configuration. The time left until grantBy extends
// requirements.StartWithin.
func (a *Admitter) reserve(requirements railfleet.Requirements, grantBy, now time.Time) (*railfleet.Lease, bool) {
	if requirements.Refresh != nil {
		requirements.Refresh(&requirements)
	}
	requirements.StartWithin += max(grantBy.Sub(now), 0)
	return a.Fleet.Reserve(requirements)
}

// await waits for a grant and returns rejection if none arrives in time.
func (a *Admitter) await(ctx context.Context, w *waiter, rejection error) (*railfleet.Lease, error) {
	expired := time.NewTimer(time.Until(w.grantBy))
	defer expired.Stop()
	select {
	case l := <-w.granted:
		return l, nil
	case err := <-w.rejected:
		return nil, err
	case <-expired.C:
		return a.removeWaiter(w, rejection)
	case <-ctx.Done():
		l, err := a.removeWaiter(w, ctx.Err())
		if l != nil {
			l.Done(railfleet.Answered)
		}
		return nil, errors.CombineErrors(ctx.Err(), err)
	}
}

// removeWaiter removes a request from the queue. It returns the lease if one was granted in the meantime, or else err.
func (a *Admitter) removeWaiter(w *waiter, err error) (*railfleet.Lease, error) {
	a.mu.Lock()
	a.waiting.RemoveFunc(func(other *waiter) bool { return other == w })
	a.mu.Unlock()
	select {
	case l := <-w.granted:
		return l, nil
	default:
		return nil, err
	}
}

// predictWait predicts the wait behind the requests ahead from the rate of recent grants.
func (a *Admitter) predictWait(now time.Time, ahead int) time.Duration {
	a.dropExpiredGrants(now)
	if ahead == 0 || len(a.grants) == 0 {
		return 0
	}
	return time.Duration(ahead) * rateWindow / time.Duration(len(a.grants))
}

func (a *Admitter) recordGrant(now time.Time) {
	a.grants = append(a.grants, now)
	a.dropExpiredGrants(now)
}

func (a *Admitter) dropExpiredGrants(now time.Time) {
	expired := 0
	for expired < len(a.grants) && now.Sub(a.grants[expired]) > rateWindow {
		expired++
	}
	a.grants = a.grants[expired:]
}
