package railfleet

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmarrail/fulmarrail/internal/membership/railselfreport"
	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

var (
	limitReports    = metrics.GetOrCreateCounter(`fulmarrail_endpoint_reports_total{report="limit"}`)
	limitEndReports = metrics.GetOrCreateCounter(`fulmarrail_endpoint_reports_total{report="limitEnd"}`)
)

const (
	limitUnchanged limitChange = iota
	// limitBegun means that an endpoint has named a limit, or another one.
	limitBegun
	limitEnded
)

const (
	// sourceResponse and sourceEntry are the sources of a report: a response of the endpoint, or another entry.
	sourceResponse = "response"
	sourceEntry    = "entry"
)

// limitChange is how a report changes the limit of an endpoint.
type limitChange uint8

// RecordLimit records that the endpoint has named in a response the number of requests per second that it takes from all entries together.
func (l *Lease) RecordLimit(perSecond float64) {
	f, now := l.fleet, time.Now()
	change := f.changeLimit(l.endpoint, sourceResponse, now, func(r *railselfreport.SelfReport) *railselfreport.SelfReport {
		return r.WithLimit(l.grantedAt, now, perSecond)
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	l.countSend(now)
	l.endpoint.report.heardLimitAt = now
	if change != limitUnchanged {
		f.markLimitChanged(l.endpoint)
	}
}

// RecordNoLimit records that the endpoint has named no limit in a response.
func (l *Lease) RecordNoLimit() {
	if l.endpoint.report.Load().LimitNamedAt().IsZero() {
		return // Nothing to end, as for nearly all responses.
	}
	if l.endLimit() {
		l.fleet.OnChange()
	}
}

// endLimit ends the endpoint's limit. It reports whether there was one.
func (l *Lease) endLimit() bool {
	f, now := l.fleet, time.Now()
	change := f.changeLimit(l.endpoint, sourceResponse, now, func(r *railselfreport.SelfReport) *railselfreport.SelfReport {
		return r.WithLimitEnd(l.grantedAt)
	})
	if change != limitEnded {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	l.endpoint.report.limitEndSeen = now
	f.markLimitChanged(l.endpoint)
	return true
}

// countSend counts the request within the endpoint's limit, once there is one: in this entry's share, or as a loan from another's.
func (l *Lease) countSend(now time.Time) {
	quota, limited := l.fleet.limitQuota(l.endpoint, now)
	if !limited || l.counted {
		return
	}
	l.counted = true
	slot := l.endpoint.report
	if l.grantedAt.Equal(now) && !slot.open(quota, now) && slot.takeLoan(now) {
		return
	}
	slot.sends.Record(quota, now, l.grantedAt)
}

// changeLimit changes what an endpoint's report says of its limit, and logs it if that begins, changes or ends the limit.
func (f *Fleet) changeLimit(e *endpoint, source string, now time.Time, change func(*railselfreport.SelfReport) *railselfreport.SelfReport) limitChange {
	previous := e.report.update(change)
	before, was := previous.Limit(now)
	after, is := change(previous).Limit(now)
	switch {
	case is && (!was || before != after):
		limitReports.Inc()
		f.Log.Info("endpoint limits requests", "endpoint", e.ID, "source", source, "row", railversion.String(e.RowVersion), "perSecond", after, "before", before)
		return limitBegun
	case was && !is:
		limitEndReports.Inc()
		f.Log.Info("endpoint limits requests no more", "endpoint", e.ID, "source", source, "row", railversion.String(e.RowVersion), "perSecond", before, "age", now.Sub(previous.LimitNamedAt()))
		return limitEnded
	}
	return limitUnchanged
}
