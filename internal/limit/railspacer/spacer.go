package railspacer

import (
	"math"
	"time"
)

const (
	// Window is the time within which a rate of at least one request per second is kept.
	Window = 4 * time.Second
	// maxInterval is the interval of a rate of zero, and bounds that of tiny rates.
	maxInterval = 24 * time.Hour
)

// Spacer spaces requests evenly, so that no Window of time has more of them than the rate allows for it, wherever it begins. Rates below one
// request per second are kept in each time in which they allow a whole number of requests. The zero value has sent nothing. It is not safe for
// concurrent use.
type Spacer struct {
	// sentAt is the time of the latest request or, if requests were sent before their opening, that of the last opening that they took.
	sentAt time.Time
}

// Interval returns the time between two requests at a rate in requests per second.
func Interval(perSecond float64) time.Duration {
	seconds := 1 / perSecond
	if perSecond > 1 {
		seconds = Window.Seconds() / math.Floor(perSecond*Window.Seconds())
	}
	if seconds >= maxInterval.Seconds() {
		return maxInterval
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// Opening returns the time from which on the next request may be sent at a rate in requests per second. It may lie in the past.
func (s *Spacer) Opening(perSecond float64) time.Time {
	if s.sentAt.IsZero() {
		return time.Time{}
	}
	return s.sentAt.Add(Interval(perSecond))
}

// RecordSent records a request that is sent now, at a rate in requests per second. A request that could not wait for its opening takes the next
// one.
func (s *Spacer) RecordSent(now time.Time, perSecond float64) {
	opening := s.Opening(perSecond)
	s.sentAt = now
	if opening.After(now) {
		s.sentAt = opening
	}
}

// ChangeRate brings the openings that requests have taken in advance forward if the rate rises now, in requests per second.
func (s *Spacer) ChangeRate(now time.Time, from, to float64) {
	if ahead := s.sentAt.Sub(now); ahead > 0 && to > from {
		s.sentAt = now.Add(time.Duration(float64(ahead) * float64(Interval(to)) / float64(Interval(from))))
	}
}
