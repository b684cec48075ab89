package railfleet

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmarrail/fulmarrail/internal/limit/railsends"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railselfreport"
	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

// reportTTL is the time for which an endpoint's report is kept after the endpoint has left the list, since it may be listed again.
const reportTTL = 10 * time.Minute

var (
	leavingReports = metrics.GetOrCreateCounter(`fulmarrail_endpoint_reports_total{report="leaving"}`)
	pauseReports   = metrics.GetOrCreateCounter(`fulmarrail_endpoint_reports_total{report="pause"}`)
	returnReports  = metrics.GetOrCreateCounter(`fulmarrail_endpoint_reports_total{report="return"}`)
)

// reportSlot holds the report of one instance. It is read and replaced without the fleet's mutex, and outlives the endpoint's state when
// the instance leaves the list and is listed again.
type reportSlot struct {
	atomic.Pointer[railselfreport.SelfReport]
	// sends holds the requests that were sent to the instance while it has named a limit. It is guarded by the fleet's mutex.
	sends railsends.History
	// heardLimitAt is the time of the latest response to this entry in which the instance named a limit, and limitEndSeen that of the one that
	// ended it. limitUnreported is set until the other entries are told of a change. They are guarded by the fleet's mutex.
	heardLimitAt, limitEndSeen time.Time
	limitUnreported            bool
	// loans holds the times until which this entry may send one request each of other entries' shares. It is guarded by the fleet's mutex.
	loans []time.Time
	// unlistedSince is the time at which the instance left the list, or zero if it is listed.
	unlistedSince time.Time
}

// update replaces the report and returns the previous one.
func (s *reportSlot) update(change func(*railselfreport.SelfReport) *railselfreport.SelfReport) *railselfreport.SelfReport {
	for {
		previous := s.Load()
		if s.CompareAndSwap(previous, change(previous)) {
			return previous
		}
	}
}

// listedReport returns the slot of a listed instance, after applying what its row says of it.
func (f *Fleet) listedReport(i railinstance.Instance) *reportSlot {
	s := f.reports[i.ID]
	if s == nil || !s.Load().IsAbout(i) {
		s = &reportSlot{}
		s.Store(railselfreport.New(i))
		f.reports[i.ID] = s
	}
	s.unlistedSince = time.Time{}
	if i.Draining {
		f.confirmLeaving(s, i.ID)
	} else {
		f.endLeaving(s, i)
	}
	return s
}

// expireReports applies to the reports of instances that are not listed any more that they are gone, and drops those that have not been
// listed for reportTTL.
func (f *Fleet) expireReports(listed map[string]*endpoint, now time.Time) {
	for id, s := range f.reports {
		if listed[id] != nil {
			continue
		}
		f.confirmLeaving(s, id)
		if s.unlistedSince.IsZero() {
			s.unlistedSince = now
		}
		if now.Sub(s.unlistedSince) > reportTTL {
			delete(f.reports, id)
		}
	}
}

// confirmLeaving records that the list shows an instance as leaving or gone, if the instance has said so before.
func (f *Fleet) confirmLeaving(s *reportSlot, id string) {
	previous := s.update(func(r *railselfreport.SelfReport) *railselfreport.SelfReport {
		if !r.Leaving() {
			return r
		}
		return r.WithLeavingListed()
	})
	if previous.Leaving() && !previous.LeavingListed() {
		f.Log.Info("endpoint leaves", "endpoint", id, "source", "list", "age", previous.LeavingAge(time.Now()))
	}
}

// endLeaving records that an instance that the list shows as ready has come back, if its row shows that.
func (f *Fleet) endLeaving(s *reportSlot, i railinstance.Instance) {
	writtenAfter := f.writtenAfter(i.RowVersion)
	previous := s.update(func(r *railselfreport.SelfReport) *railselfreport.SelfReport {
		if !r.ReturnedBy(writtenAfter) {
			return r
		}
		return r.WithReturn()
	})
	if previous.ReturnedBy(writtenAfter) {
		returnReports.Inc()
		f.Log.Info("endpoint is back after it had left", "endpoint", i.ID, "source", "list", "row", railversion.String(i.RowVersion), "age", previous.LeavingAge(time.Now()))
	}
}

// logResumption logs the first request to an endpoint after a pause.
func (f *Fleet) logResumption(e *endpoint, now time.Time) {
	if end := e.report.Load().PausedUntil(); end.After(e.resumedAfter) {
		e.resumedAfter = end
		f.Log.Info("endpoint gets requests again", "endpoint", e.ID, "source", "response", "age", now.Sub(end))
	}
}

// writtenAfter returns a time of the store's clock after which a row version was written, or 0 if unknown.
func (f *Fleet) writtenAfter(rowVersion int64) time.Duration {
	if f.StoreClock == nil {
		return 0
	}
	return f.StoreClock.WrittenAfter(rowVersion)
}

// storeTime returns an upper bound of the store's clock, or 0 if unknown.
func (f *Fleet) storeTime() time.Duration {
	if f.StoreClock == nil {
		return 0
	}
	return f.StoreClock.Now()
}

// RecordLeaving records that the endpoint has said in a response that it is leaving. From then on, it gets no requests.
func (l *Lease) RecordLeaving() {
	f, now, storeTime := l.fleet, time.Now(), l.fleet.storeTime()
	previous := l.report.update(func(r *railselfreport.SelfReport) *railselfreport.SelfReport { return r.WithLeaving(now, storeTime) })
	if previous.Leaving() {
		return
	}
	leavingReports.Inc()
	f.Log.Info("endpoint leaves", "endpoint", l.Instance.ID, "source", "response", "row", railversion.String(l.Instance.RowVersion), "age", time.Duration(0))
	f.OnChange()
}

// RecordPause records that the endpoint has asked in a response for no requests for some time.
func (l *Lease) RecordPause(d time.Duration) {
	f, now := l.fleet, time.Now()
	previous := l.report.update(func(r *railselfreport.SelfReport) *railselfreport.SelfReport { return r.WithPause(now, d) })
	if previous.Paused(now) {
		return
	}
	pauseReports.Inc()
	f.Log.Info("endpoint asks for no requests", "endpoint", l.Instance.ID, "source", "response", "row", railversion.String(l.Instance.RowVersion), "age", time.Duration(0), "for", d)
	f.OnChange()
}
