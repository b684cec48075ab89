package railfleet

import (
	"math"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/limit/railquota"
)

const (
	// coldShare is the fraction of an endpoint's cold limit that all entries together use.
	coldShare = 0.9
	// After limitSilence without a response that names an endpoint's limit, silentLooks entries more may send it a request: those that have
	// a share may be gone, and nobody else would learn of the limit's end.
	limitSilence = 30 * time.Second
	silentLooks  = 4
)

// opening says when an endpoint takes requests from this entry, regardless of its load.
type opening struct {
	// at is the earliest time at which it does, or zero if it doesn't at any known time.
	at time.Time
	// asked reports whether the endpoint itself has asked for that, and uncertain whether it may open before.
	asked, uncertain bool
	// borrowing reports whether another entry may grant a loan any moment.
	borrowing bool
	// limited reports whether the endpoint has named a limit, and quota is this entry's share of it.
	limited bool
	quota   railquota.Quota
}

// opening returns when an endpoint takes requests from this entry. It is the one place that decides that: after failures, after the endpoint
// has asked for none, within the limit that it has named, and within this entry's share of its cold limit.
func (f *Fleet) opening(e *endpoint, backend railbackend.Backend, now time.Time) opening {
	said := e.report.Load()
	o := opening{at: latest(now, e.backoffUntil, said.PausedUntil()), asked: said.Paused(now), uncertain: e.misdirected && now.Before(e.backoffUntil)}
	if f.coldQuota(e, backend) <= 0 {
		o.at, o.uncertain = time.Time{}, true // The share changes with the list of entries, which may not be known yet.
	}
	if o.quota, o.limited = f.limitQuota(e, now); !o.limited {
		return o
	}
	switch {
	case e.report.hasLoan(now):
	case o.quota.Requests <= 0:
		o.at = time.Time{}
	case !o.at.IsZero():
		o.at = latest(o.at, e.report.sends.OpensAt(o.quota, now))
	}
	o.asked = o.asked || !o.open(now)
	o.borrowing = !o.open(now) && f.borrower.pending(e.instanceHash, now)
	return o
}

// open reports whether the endpoint takes a request now.
func (o opening) open(now time.Time) bool {
	return !o.at.IsZero() && !o.at.After(now)
}

// usable reports whether an endpoint may get the request, regardless of its load.
func (f *Fleet) usable(e *endpoint, req Requirements, now time.Time) bool {
	return e.eligible(req) && !req.Tried[e.ID] && f.opening(e, req.Backend, now).open(now)
}

// limitQuota returns this entry's share of the limit that an endpoint has named, or false if there is no limit. The shares of all entries that
// know of each other add up to the limit, whatever they know of each other's requests.
func (f *Fleet) limitQuota(e *endpoint, now time.Time) (railquota.Quota, bool) {
	said := e.report.Load()
	perSecond, limited := said.Limit(now)
	if !limited {
		return railquota.Quota{}, false
	}
	q := railquota.ForRate(perSecond)
	if now.Sub(said.LimitNamedAt()) > limitSilence {
		q.Requests += silentLooks
	}
	q.Requests = f.Share(e.ID, q.Requests)
	return q, true
}

// coldQuota returns the number of requests that this entry may send to an endpoint in a second, or math.MaxInt for no bound. It
// applies to warm endpoints too, since an endpoint may turn cold at any time.
func (f *Fleet) coldQuota(e *endpoint, backend railbackend.Backend) int {
	if backend.ColdPerSecond <= 0 {
		return math.MaxInt
	}
	return f.Share(e.ID, int(coldShare*(backend.ColdPerSecond*f.ColdOvershoot+f.ColdSlack)))
}

// latest returns the latest of some times.
func latest(first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.After(first) {
			first = t
		}
	}
	return first
}
