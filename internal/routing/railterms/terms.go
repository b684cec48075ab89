package railterms

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
)

// RequestClass says what is known of a caller's request.
type RequestClass uint8

const (
	// FirstTry is a request whose answer can still be on time.
	FirstTry RequestClass = iota
	// ClientRetry is the request of a caller who was refused and comes back: its answer is late in any case.
	ClientRetry
	// Failover is a request that an endpoint has failed, or a stream that broke off.
	Failover
)

const (
	// onTime is the share of the target that may pass until an answer begins that is to be on time, as it is predicted.
	onTime = 0.8
	// waiting is the share of the target for which a request may wait for a place.
	waiting = 0.45
	// spare is the share of the target within which a later try is to begin: it takes a place only where enough room is left for
	// first ones. Work on its way can't be taken back, so that a lower rank would not do.
	spare = 0.5
)

// Deadlines bound the search for a place.
type Deadlines struct {
	// GrantBy is the last moment at which a place is of use.
	GrantBy time.Time
	// StartWithin is the time from then within which the answer is to begin.
	StartWithin time.Duration
}

// Compute returns the terms now of a request that came at a time and whose answer is on time within a target.
func Compute(try RequestClass, target time.Duration, came, now time.Time) Deadlines {
	latest := came.Add(railtimer.Part(waiting, target))
	switch {
	case try == ClientRetry:
		return Deadlines{GrantBy: now, StartWithin: railtimer.Part(spare, target)}
	case try == Failover || now.After(latest):
		return Deadlines{GrantBy: now.Add(railtimer.Part(waiting, target)), StartWithin: target}
	}
	return Deadlines{GrantBy: latest, StartWithin: railtimer.Part(onTime-waiting, target)}
}
