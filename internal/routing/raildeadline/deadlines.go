package raildeadline

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
)

// RequestClass distinguishes requests by what preceded them.
type RequestClass uint8

const (
	// FirstTry is a request whose response can still be on time.
	FirstTry RequestClass = iota
	// ClientRetry is a retry by a caller whose request was rejected. Its response is late in any case.
	ClientRetry
	// Failover is a request that failed at an endpoint, or a stream that was interrupted.
	Failover
)

const (
	// onTimeShare is the share of the target within which the response to a first try has to be predicted to start.
	onTimeShare = 0.8
	// queueShare is the share of the target for which a request may wait for an endpoint.
	queueShare = 0.45
	// clientRetryShare is the share of the target within which the response to a client retry has to start, so that the retry is
	// sent only to an endpoint with enough capacity left for first tries. Queuing it behind first tries would not suffice, since
	// work that is already running can't be preempted.
	clientRetryShare = 0.5
)

// Deadlines bound the time until a request is granted an endpoint and its response starts.
type Deadlines struct {
	// GrantBy is the latest time at which an endpoint may be granted.
	GrantBy time.Time
	// StartWithin is the time after GrantBy within which the response has to start.
	StartWithin time.Duration
}

// Compute returns the deadlines as of now for a request that arrived at arrival and whose response is on time if it starts within
// target.
func Compute(class RequestClass, target time.Duration, arrival, now time.Time) Deadlines {
	grantBy := arrival.Add(railtimer.Scale(queueShare, target))
	switch {
	case class == ClientRetry:
		return Deadlines{GrantBy: now, StartWithin: railtimer.Scale(clientRetryShare, target)}
	case class == Failover || now.After(grantBy):
		return Deadlines{GrantBy: now.Add(railtimer.Scale(queueShare, target)), StartWithin: target}
	}
	return Deadlines{GrantBy: grantBy, StartWithin: railtimer.Scale(onTimeShare-queueShare, target)}
}
