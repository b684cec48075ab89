package railadmission

import (
	"context"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// maxQueueWait is the longest time that a request waits for capacity.
	maxQueueWait = 100 * time.Millisecond
	// maxQueueLength bounds the number of queued requests. Each entry process has at most one request waiting at an endpoint.
	maxQueueLength = 256

	// unitWaiting is the kind of work in which a panic is contained.
	unitWaiting = "waiting request"
)

// waiter is a request that waits for capacity.
type waiter struct {
	request *railproto.ExecuteRequest
	result  chan admissionResult
}

type admissionResult struct {
	inFlight int
	reason   railproto.Reason
}

// Admit admits a request like TryAdmit, but queues it for up to maxQueueWait if the limit is reached and the endpoint may take it by then. The requests of all
// entry processes share one queue, ordered by priority and then by customer share, so that an entry gains no advantage from being
// the first to learn of free capacity.
func (c *Controller) Admit(ctx context.Context, req *railproto.ExecuteRequest) (inFlight int, reason railproto.Reason) {
	w, res := c.admitOrEnqueue(req)
	if w == nil {
		return res.inFlight, res.reason
	}
	ctx, cancel := context.WithTimeout(ctx, maxQueueWait)
	defer cancel()
	select {
	case res = <-w.result:
		return res.inFlight, res.reason
	case <-ctx.Done():
	}
	if c.removeWaiter(w) {
		return 0, railproto.Reason_REASON_LIMIT
	}
	res = <-w.result // The decision was made concurrently with the timeout.
	return res.inFlight, res.reason
}

// admitOrEnqueue admits or rejects the request immediately, or enqueues it if others are waiting or the limit is reached. It returns
// a result for the former, and a waiter for the latter.
func (c *Controller) admitOrEnqueue(req *railproto.ExecuteRequest) (*waiter, admissionResult) {
	c.queueMu.Lock()
	defer c.queueMu.Unlock()
	if c.queue.Len() == 0 {
		inFlight, reason := c.TryAdmit(req)
		if reason != railproto.Reason_REASON_LIMIT {
			return nil, admissionResult{inFlight: inFlight, reason: reason}
		}
	}
	if !c.opensInTime(req) {
		return nil, admissionResult{reason: railproto.Reason_REASON_LIMIT}
	}
	w := &waiter{request: req, result: make(chan admissionResult, 1)}
	c.queue.Capacity = maxQueueLength
	if evicted, full := c.queue.Push(w, int(req.GetPriority()), req.GetCustomer(), c.customerWeight(req.GetCustomer())); full {
		evicted.result <- admissionResult{reason: railproto.Reason_REASON_LIMIT}
	}
	c.processQueueLocked()
	return w, admissionResult{}
}

// removeWaiter removes a request from the queue. It reports false if the request is no longer queued.
func (c *Controller) removeWaiter(w *waiter) bool {
	c.queueMu.Lock()
	defer c.queueMu.Unlock()
	return c.queue.RemoveFunc(func(other *waiter) bool { return other == w }) > 0
}

// processQueue admits queued requests while there is capacity, and rejects those that can't be admitted regardless of load.
func (c *Controller) processQueue() {
	c.queueMu.Lock()
	defer c.queueMu.Unlock()
	c.processQueueLocked()
}

func (c *Controller) processQueueLocked() {
	for {
		w, ok := c.queue.Peek()
		if !ok {
			return
		}
		res := c.decide(w)
		if res.reason == railproto.Reason_REASON_LIMIT {
			c.wakeAtOpening()
			return
		}
		c.queue.Pop()
		w.result <- res
	}
}

// decide admits or rejects a queued request. A panic rejects this request only: the decision is made on behalf of all that wait, and often by a
// request that has just ended.
func (c *Controller) decide(w *waiter) (res admissionResult) {
	defer func() {
		if railpanic.Recovered(recover(), c.Log, unitWaiting, "request", w.request.GetRequestId()) != nil {
			res = admissionResult{reason: railproto.Reason_REASON_ENDPOINT_REFUSED}
		}
	}()
	inFlight, reason := c.TryAdmit(w.request)
	return admissionResult{inFlight: inFlight, reason: reason}
}

// customerWeight returns the customer's weight in the current configuration revision, or 1 for an unknown customer.
func (c *Controller) customerWeight(customer string) int {
	revision, _ := c.Config.Current()
	settings, ok := revision.Spec().Customer(customer)
	if !ok {
		return 1
	}
	return settings.Weight
}
