package railburn

import (
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railobjective"
	"github.com/fulmarrail/fulmarrail/internal/report/railentryreport"
)

// RetentionMinutes is how long counts are kept, in minutes.
const RetentionMinutes = 3 * 24 * 60

// windowMinutes lists the lengths of a burn report's windows in minutes.
var windowMinutes = [...]int{5, 30, 60, 6 * 60, RetentionMinutes}

// bucket holds the counts of one minute, numbered from the Unix epoch.
type bucket struct {
	minute int64
	good   uint32
	bad    uint32
}

// Recorder counts the requests of one entry by objective. It is safe for concurrent use, and its zero value is ready to use.
type Recorder struct {
	mu sync.Mutex
	// buckets maps each objective's name to a ring buffer of RetentionMinutes buckets.
	buckets map[string][]bucket
}

// Observe counts a request for each objective that covers it. A request is good if its response is complete and its latencies are
// within the objective's bounds; firstToken and betweenTokens are 0 if they were not measured.
func (r *Recorder) Observe(objectives []railobjective.Objective, service, customer string, complete bool, firstToken, betweenTokens time.Duration) {
	minute := time.Now().Unix() / 60
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.buckets == nil {
		r.buckets = map[string][]bucket{}
	}
	for _, o := range objectives {
		if o.Service != service || (o.Customer != "" && o.Customer != customer) {
			continue
		}
		ring := r.buckets[o.Name]
		if ring == nil {
			ring = make([]bucket, RetentionMinutes)
			r.buckets[o.Name] = ring
		}
		b := &ring[minute%RetentionMinutes]
		if b.minute != minute {
			*b = bucket{minute: minute}
		}
		if complete && withinBound(firstToken, o.MaxTimeToFirstToken) && withinBound(betweenTokens, o.MaxTimeBetweenTokens) {
			b.good++
		} else {
			b.bad++
		}
	}
}

// Count returns the numbers of good and bad requests of an objective in the given number of minutes up to now, including the
// current one.
func (r *Recorder) Count(objective string, minutes int) (good, bad uint64) {
	now := time.Now().Unix() / 60
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.buckets[objective] {
		if b.minute > now-int64(minutes) && b.minute <= now {
			good += uint64(b.good)
			bad += uint64(b.bad)
		}
	}
	return good, bad
}

// AddTo returns a copy of report with the objectives and their counts in each window added.
func (r *Recorder) AddTo(report railentryreport.Report, objectives []railobjective.Objective) railentryreport.Report {
	for _, o := range objectives {
		report = report.WithObjective(o.Name, o.Service, o.Customer, o.TargetPercent)
		for _, minutes := range windowMinutes {
			good, bad := r.Count(o.Name, minutes)
			report = report.WithWindow(minutes, good, bad)
		}
	}
	return report
}

// withinBound reports whether a latency is within its bound; a bound of 0 is no bound.
func withinBound(measured, bound time.Duration) bool {
	return bound <= 0 || measured <= bound
}
