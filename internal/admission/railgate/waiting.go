package railgate

import (
	"context"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// admissionWait is the longest time for which a request waits for room.
	admissionWait = 100 * time.Millisecond
	// maxWaiting bounds the requests that wait for room; each entry sends at most one.
	maxWaiting = 256
)

// waiter is one request that waits for room.
type waiter struct {
	request *railproto.ExecuteRequest
	outcome chan admission
}

type admission struct {
	together int
	reason   railproto.Reason
}

// Admit is Acquire for a request that may wait a moment until there is room. Requests of all entries wait in one order, by
// priority and then by the customers' shares, so that no entry gets the room that only it knows of.
func (g *Controller) Admit(ctx context.Context, req *railproto.ExecuteRequest) (together int, reason railproto.Reason) {
	w, a := g.acquireOrWait(req)
	if w == nil {
		return a.together, a.reason
	}
	ctx, cancel := context.WithTimeout(ctx, admissionWait)
	defer cancel()
	select {
	case a = <-w.outcome:
		return a.together, a.reason
	case <-ctx.Done():
	}
	if g.giveUp(w) {
		return 0, railproto.Reason_REASON_LIMIT
	}
	a = <-w.outcome // It was admitted in the same moment.
	return a.together, a.reason
}

// acquireOrWait admits a request when nothing waits and there is room, or else puts it among those that wait.
func (g *Controller) acquireOrWait(req *railproto.ExecuteRequest) (*waiter, admission) {
	g.waitingMu.Lock()
	defer g.waitingMu.Unlock()
	if g.waiting.Len() == 0 {
		together, reason := g.TryAdmit(req)
		if reason != railproto.Reason_REASON_LIMIT {
			return nil, admission{together: together, reason: reason}
		}
	}
	w := &waiter{request: req, outcome: make(chan admission, 1)}
	g.waiting.Capacity = maxWaiting
	if out, full := g.waiting.Push(w, int(req.GetPriority()), req.GetCustomer(), g.weight(req.GetCustomer())); full {
		out.outcome <- admission{reason: railproto.Reason_REASON_LIMIT}
	}
	g.admitWaiting()
	return w, admission{}
}

// giveUp takes a request out of those that wait, or reports false when it does not wait any more.
func (g *Controller) giveUp(w *waiter) bool {
	g.waitingMu.Lock()
	defer g.waitingMu.Unlock()
	return g.waiting.RemoveFunc(func(other *waiter) bool { return other == w }) > 0
}

// grant admits requests that wait after room has become free.
func (g *Controller) grant() {
	g.waitingMu.Lock()
	defer g.waitingMu.Unlock()
	g.admitWaiting()
}

func (g *Controller) admitWaiting() {
	for {
		w, ok := g.waiting.Peek()
		if !ok {
			return
		}
		together, reason := g.TryAdmit(w.request)
		if reason == railproto.Reason_REASON_LIMIT {
			return
		}
		g.waiting.Pop()
		w.outcome <- admission{together: together, reason: reason}
	}
}

// weight returns a customer's share by the revision in force.
func (g *Controller) weight(customer string) int {
	revision, _ := g.Config.Current()
	c, ok := revision.Spec().Customer(customer)
	if !ok {
		return 1
	}
	return c.Weight
}
