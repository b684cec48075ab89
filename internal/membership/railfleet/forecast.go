package railfleet

import "time"

// Forecast says when the endpoints that could serve a request take it, as far as their limits, pauses and failures tell.
type Forecast struct {
	// Own is the number of requests like it that they take from this entry by a given time, and Total that of any requests that all endpoints of
	// the service take. Both are bounded by the number that was asked for.
	Own, Total int
	// OpensAt is the time at which the first of them takes a request from this entry, or zero if none does at a known time.
	OpensAt time.Time
	// Limited is the number of them that have named a limit. Elsewhere reports whether other entries may send requests to one of them that has
	// none for this entry.
	Limited   int
	Elsewhere bool
	// Bounded reports whether all endpoints of the service that open by then have named limits, so that Total is no matter of load.
	Bounded bool
	// Borrowing reports whether another entry may lend a place at one of them any moment. Nothing else is known then.
	Borrowing bool
}

// Forecast counts up to atMost requests that endpoints take by the given time, regardless of their load, if each is sent up to delay after an endpoint
// opens for it. It returns false if there is no bound: an endpoint without a limit opens in time, no endpoint could serve the request at all, or
// that may change at any time.
func (f *Fleet) Forecast(req Requirements, by time.Time, delay time.Duration, atMost int) (Forecast, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, known, borrowing := time.Now(), false, false
	by = latest(by, now) // An endpoint that is open now counts for a request that can't wait, too.
	forecast := Forecast{Bounded: true}
	for _, e := range f.endpoints {
		if e.Service != req.Backend.Name || e.Draining {
			continue
		}
		o := f.opening(e, req.Backend, now)
		grants := e.countGrants(o, now, by, delay, atMost)
		forecast.Total = min(forecast.Total+grants, atMost)
		forecast.Bounded = forecast.Bounded && (o.limited || grants == 0)
		switch {
		case !e.eligible(req):
		case req.Tried[e.ID]:
			// It gets the request no more, but may get it from the caller again.
			known = known || o.asked
			forecast = forecast.withOpening(o, o.asked)
		case o.uncertain || !o.limited && grants > 0:
			return Forecast{}, false
		case o.borrowing:
			borrowing = true
		default:
			known = true
			forecast.Own = min(forecast.Own+grants, atMost)
			forecast = forecast.withOpening(o, true)
		}
	}
	if borrowing {
		return Forecast{Borrowing: true}, false
	}
	return forecast, known
}

// withOpening returns a forecast with the opening of an endpoint that could serve the request, if relevant.
func (p Forecast) withOpening(o opening, relevant bool) Forecast {
	if !relevant {
		return p
	}
	if o.limited {
		p.Limited++
		p.Elsewhere = p.Elsewhere || o.quota.Requests <= 0
	}
	if !o.at.IsZero() && (p.OpensAt.IsZero() || o.at.Before(p.OpensAt)) {
		p.OpensAt = o.at
	}
	return p
}

// countGrants returns the number of requests that an endpoint takes from this entry by the given time, or atMost if that is less.
func (e *endpoint) countGrants(o opening, now, by time.Time, delay time.Duration, atMost int) int {
	from := o.at
	if o.at.After(now) {
		from = o.at.Add(delay)
	}
	switch {
	case o.at.IsZero() || from.After(by):
		return 0
	case o.limited:
		return e.report.sends.CountBy(o.quota, from, by, delay, atMost)
	}
	return atMost
}
