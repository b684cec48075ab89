package railterms

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
)

// Try says what is known of a caller's request.
type Try uint8

const (
	// First is a request whose answer can still be on time.
	First Try = iota
	// Later is the request of a caller who was refused and comes back: its answer is late in any case.
	Later
	// Again is a request that an endpoint has failed, or a stream that broke off.
	Again
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

// Terms bound the search for a place.
type Terms struct {
	// Latest is the last moment at which a place is of use.
	Latest time.Time
	// Within is the time from then within which the answer is to begin.
	Within time.Duration
}

// For returns the terms now of a request that came at a time and whose answer is on time within a target.
func For(try Try, target time.Duration, came, now time.Time) Terms {
	latest := came.Add(railtimer.Part(waiting, target))
	switch {
	case try == Later:
		return Terms{Latest: now, Within: railtimer.Part(spare, target)}
	case try == Again || now.After(latest):
		return Terms{Latest: now.Add(railtimer.Part(waiting, target)), Within: target}
	}
	return Terms{Latest: latest, Within: railtimer.Part(onTime-waiting, target)}
}
