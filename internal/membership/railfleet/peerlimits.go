package railfleet

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/membership/railselfreport"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// limitEndRepeats is the time for which digests repeat that a limit has ended, since they may be lost.
	limitEndRepeats = 10 * time.Second
	// maxLimitsPerDigest bounds the size of a digest, which has to fit into a datagram. The order is random, so that later digests hold others.
	maxLimitsPerDigest = 200
)

// AllLimits returns the limits that other entries should know of from this one: those of which it has the latest response. The others
// repeat theirs, so that each limit is sent by about one entry, and by more while digests are lost.
func (f *Fleet) AllLimits() []*railproto.EndpointLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var list []*railproto.EndpointLimit
	for _, e := range f.endpoints {
		if len(list) < maxLimitsPerDigest && e.report.repeatsLimit(now) {
			e.report.limitUnreported = false
			list = append(list, e.limitToProto(now))
		}
	}
	return list
}

// ChangedLimits returns the limits that have begun, changed or ended in responses to this entry since the last call of AllLimits or
// ChangedLimits.
func (f *Fleet) ChangedLimits() []*railproto.EndpointLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var list []*railproto.EndpointLimit
	for _, e := range f.endpoints {
		if len(list) < maxLimitsPerDigest && e.report.limitUnreported {
			e.report.limitUnreported = false
			list = append(list, e.limitToProto(now))
		}
	}
	return list
}

// repeatsLimit reports whether this entry has the latest response that named the instance's limit, or has seen its end lately.
func (s *reportSlot) repeatsLimit(now time.Time) bool {
	said := s.Load()
	if _, limited := said.Limit(now); limited {
		return s.heardLimitAt.Equal(said.LimitNamedAt())
	}
	return !s.limitEndSeen.IsZero() && now.Sub(s.limitEndSeen) < limitEndRepeats
}

// markLimitChanged lets the next digest report an endpoint's limit, at once.
func (f *Fleet) markLimitChanged(e *endpoint) {
	e.report.limitUnreported = true
	f.signalIncrease()
}

func (e *endpoint) limitToProto(now time.Time) *railproto.EndpointLimit {
	said := e.report.Load()
	limit := &railproto.EndpointLimit{Instance: e.instanceHash, NamedAgeMillis: ageMillis(said.LimitNamedAt(), now)}
	perSecond, limited := said.Limit(now)
	limit.PerSecond, limit.Ended = perSecond, !limited
	if limit.Ended {
		limit.EndedAgeMillis = ageMillis(said.LimitEndedAt(), now)
	}
	return limit
}

func ageMillis(at, now time.Time) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), 1<<31))
}

// mergeLimits applies the limits of which another entry knows. The newer observation holds. It reports whether a limit has ended.
func (f *Fleet) mergeLimits(limits []*railproto.EndpointLimit) bool {
	if len(limits) == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now, ended := time.Now(), false
	for _, l := range limits {
		if e := f.instances[l.GetInstance()]; e != nil && l.GetPerSecond() >= 0 {
			ended = f.mergeLimit(e, l, now) == limitEnded || ended
		}
	}
	return ended
}

func (f *Fleet) mergeLimit(e *endpoint, l *railproto.EndpointLimit, now time.Time) limitChange {
	age := func(millis uint32) time.Time { return now.Add(-time.Duration(millis) * time.Millisecond) }
	change := f.changeLimit(e.report, e.Instance, sourceEntry, now, func(r *railselfreport.SelfReport) *railselfreport.SelfReport {
		if l.GetEnded() {
			return r.WithLimitEnd(age(l.GetEndedAgeMillis()))
		}
		namedAt := age(l.GetNamedAgeMillis())
		return r.WithLimit(namedAt, namedAt, l.GetPerSecond())
	})
	if change == limitBegun {
		f.beginLimit(e, now)
	}
	return change
}
