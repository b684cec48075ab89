package raillimittrial

import (
	"slices"
	"sync"
	"time"
)

const (
	// limitWindow is the span over which arrivals are counted against a limit.
	limitWindow = 4 * time.Second
	// settleTime is the time after which an endpoint's limit must hold, from the first answer in which it could name it.
	settleTime = 3 * time.Second
	// noticeTime is the time from the first answer with the limit that a gateway has passed on to the time from which its requests count.
	noticeTime = 500 * time.Millisecond
	// Within limitWindow, toleratedRatio times the limit and toleratedExtra more requests are tolerated.
	toleratedRatio = 1.5
	toleratedExtra = 5
)

// arrival is a request that has reached an endpoint.
type arrival struct {
	at time.Time
	// notified reports whether the gateway that sent it had to know the limit.
	notified bool
}

// engine is a simulated endpoint. It names its limit from namesAt on, and serves everything that it gets.
type engine struct {
	// limit is in requests per second.
	limit   float64
	namesAt time.Time

	mu       sync.Mutex
	arrivals []arrival
	// notifiedAt holds the time at which each gateway first passed on an answer with the limit.
	notifiedAt map[int]time.Time
}

// receive records the arrival of a request from a gateway.
func (e *engine) receive(gateway int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	since, ok := e.notifiedAt[gateway]
	e.arrivals = append(e.arrivals, arrival{at: now, notified: ok && now.Sub(since) >= noticeTime})
}

// answer returns the limit that the endpoint names in an answer to a gateway now, or 0.
func (e *engine) answer(gateway int) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Before(e.namesAt) {
		return 0
	}
	if _, ok := e.notifiedAt[gateway]; !ok {
		e.notifiedAt[gateway] = now
	}
	return e.limit
}

// excuse makes the requests of a gateway not count until it has passed on the limit again.
func (e *engine) excuse(gateway int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.notifiedAt, gateway)
}

// tolerated returns the number of requests that are tolerated within limitWindow.
func (e *engine) tolerated() int {
	return int(toleratedRatio*e.named()) + toleratedExtra
}

// named returns the number of requests within limitWindow that the limit allows.
func (e *engine) named() float64 {
	return e.limit * limitWindow.Seconds()
}

// mostArrivals returns the greatest number of arrivals within limitWindow, of all windows that end after settleTime: of the requests of all
// gateways, and of the ones that had to know the limit.
func (e *engine) mostArrivals() (all, notified int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	slices.SortStableFunc(e.arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	from, notifiedInWindow := 0, 0
	for i, a := range e.arrivals {
		if a.notified {
			notifiedInWindow++
		}
		for a.at.Sub(e.arrivals[from].at) >= limitWindow {
			if e.arrivals[from].notified {
				notifiedInWindow--
			}
			from++
		}
		if !a.at.Before(e.namesAt.Add(settleTime)) {
			all, notified = max(all, i-from+1), max(notified, notifiedInWindow)
		}
	}
	return all, notified
}

// countArrivals returns the number of arrivals between two times.
func (e *engine) countArrivals(from, to time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, a := range e.arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			n++
		}
	}
	return n
}
