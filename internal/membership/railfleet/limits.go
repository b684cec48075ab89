package railfleet

import (
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmarrail/fulmarrail/internal/limit/railquota"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railselfreport"
	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

var (
	limitReports    = metrics.GetOrCreateCounter(`fulmarrail_endpoint_reports_total{report="limit"}`)
	limitEndReports = metrics.GetOrCreateCounter(`fulmarrail_endpoint_reports_total{report="limitEnd"}`)
)

const (
	limitUnchanged limitChange = iota
	limitBegun
	// limitChanged means that an endpoint has named another limit.
	limitChanged
	limitEnded
)

const (
	// sourceResponse and sourceEntry are the sources of a report: a response of the endpoint, or another entry.
	sourceResponse = "response"
	sourceEntry    = "entry"

	// maxPhase is the longest part of the time between two requests that has passed when a limit begins. The rest keeps an endpoint in need from
	// requests at once.
	maxPhase = 0.8
)

// limitChange is how a report changes the limit of an endpoint.
type limitChange uint8

// RecordLimit records that the endpoint has named in a response the number of requests per second that it takes from all entries together.
func (l *Lease) RecordLimit(perSecond float64) {
	f, now := l.fleet, time.Now()
	change := f.changeLimit(l.report, l.Instance, sourceResponse, now, func(r *railselfreport.SelfReport) *railselfreport.SelfReport {
		return r.WithLimit(l.grantedAt, now, perSecond)
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	l.report.heardLimitAt = now
	if change == limitBegun {
		f.beginLimit(l.endpoint, now)
	}
	if change != limitUnchanged {
		f.markLimitChanged(l.endpoint)
	}
}

// beginLimit counts this entry's share of a limit that has just begun as used evenly in the window before, so that the endpoint gets it evenly
// from the start. Otherwise, the windows of all entries would begin at the same time, with all their shares at once.
func (f *Fleet) beginLimit(e *endpoint, now time.Time) {
	f.limitNamed = true
	quota, _ := f.limitQuota(e, now)
	e.report.sends.Fill(quota, now, maxPhase*rand.Float64())
}

// RecordNoLimit records that the endpoint has named no limit in a response.
func (l *Lease) RecordNoLimit() {
	if l.report.Load().LimitNamedAt().IsZero() {
		return // Nothing to end, as for nearly all responses.
	}
	if l.endLimit() {
		l.fleet.OnChange()
	}
}

// endLimit ends the endpoint's limit. It reports whether there was one.
func (l *Lease) endLimit() bool {
	f, now := l.fleet, time.Now()
	change := f.changeLimit(l.report, l.Instance, sourceResponse, now, func(r *railselfreport.SelfReport) *railselfreport.SelfReport {
		return r.WithLimitEnd(l.grantedAt)
	})
	if change != limitEnded {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	l.report.limitEndSeen = now
	f.markLimitChanged(l.endpoint)
	return true
}

// countSend counts a request that is sent now within the endpoint's limit, if there is one: in this entry's share, or as a loan from another's.
func (f *Fleet) countSend(e *endpoint, now time.Time) {
	quota, limited := f.limitQuota(e, now)
	if !limited || !e.report.open(quota, now) && e.report.takeLoan(now) {
		return
	}
	e.report.sends.Record(quota, now, now)
}

// changeLimit changes what an instance's report says of its limit, and logs it if that begins, changes or ends the limit.
func (f *Fleet) changeLimit(s *reportSlot, i railinstance.Instance, source string, now time.Time, change func(*railselfreport.SelfReport) *railselfreport.SelfReport) limitChange {
	previous := s.update(change)
	before, was := previous.Limit(now)
	after, is := change(previous).Limit(now)
	switch {
	case is && (!was || before != after):
		limitReports.Inc()
		quota := railquota.ForRate(after)
		f.Log.Info("endpoint limits requests", "endpoint", i.ID, "source", source, "row", railversion.String(i.RowVersion), "perSecond", after, "before", before,
			"share", f.Share(i.ID, quota.Requests), "window", quota.Window)
		if was {
			return limitChanged
		}
		return limitBegun
	case was && !is:
		limitEndReports.Inc()
		f.Log.Info("endpoint limits requests no more", "endpoint", i.ID, "source", source, "row", railversion.String(i.RowVersion), "perSecond", before, "age", now.Sub(previous.LimitNamedAt()))
		return limitEnded
	}
	return limitUnchanged
}
