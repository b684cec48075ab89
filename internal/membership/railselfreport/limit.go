package railselfreport

import "time"

// limitTTL is the time after which a limit ends if the instance has not answered since. Its restart or its next response ends it before.
const limitTTL = 10 * time.Minute

// WithLimit returns a report in which the instance has named the number of requests per second that it takes from all VMs together, in a
// response to a request that was sent at sentAt. Responses overtake each other, so a greater limit than the known one holds only if the
// request was sent after the known one had arrived.
func (r *SelfReport) WithLimit(sentAt, at time.Time, perSecond float64) *SelfReport {
	if at.Before(r.limitNamedAt) {
		return r
	}
	updated := *r
	if _, limited := r.Limit(at); !limited || perSecond < r.limit || !sentAt.Before(r.limitSince) {
		updated.limit, updated.limitSince = perSecond, at
	}
	updated.limitNamedAt = at
	return &updated
}

// WithLimitEnd returns a report in which the instance has named no limit in a response to a request that was sent at the given time. The
// response may be older than one that has overtaken it: it ends a limit only if its request was sent after the limit was last named.
func (r *SelfReport) WithLimitEnd(sentAt time.Time) *SelfReport {
	if !sentAt.After(r.limitEndedAt) {
		return r
	}
	updated := *r
	updated.limitEndedAt = sentAt
	return &updated
}

// Limit returns the number of requests per second that the instance takes from all VMs together, or false if there is no limit.
func (r *SelfReport) Limit(now time.Time) (perSecond float64, limited bool) {
	limited = !r.limitNamedAt.IsZero() && !r.limitEndedAt.After(r.limitNamedAt) && now.Sub(r.limitNamedAt) < limitTTL
	if !limited {
		return 0, false
	}
	return r.limit, true
}

// LimitNamedAt returns the arrival of the latest response that named a limit, or zero.
func (r *SelfReport) LimitNamedAt() time.Time {
	return r.limitNamedAt
}

// LimitEndedAt returns the time at which the latest request was sent whose response named no limit, or zero.
func (r *SelfReport) LimitEndedAt() time.Time {
	return r.limitEndedAt
}
