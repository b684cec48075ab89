package railburn

import (
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railobjective"
	"github.com/fulmarrail/fulmarrail/internal/report/railentryreport"
)

// Minutes is the number of minutes that are kept.
const Minutes = 3 * 24 * 60

// windows are the lengths of a burn report's windows in minutes.
var windows = [...]int{5, 30, 60, 6 * 60, Minutes}

type bucket struct {
	minute int64
	good   uint32
	bad    uint32
}

// Recorder holds the counts of one entry; the zero value is ready.
type Recorder struct {
	mu      sync.Mutex
	buckets map[string][]bucket
}

// Observe counts a request for each objective that covers it; firstToken and betweenTokens are 0 where there is none.
func (r *Recorder) Observe(objectives []railobjective.Objective, service, customer string, whole bool, firstToken, betweenTokens time.Duration) {
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
			ring = make([]bucket, Minutes)
			r.buckets[o.Name] = ring
		}
		b := &ring[minute%Minutes]
		if b.minute != minute {
			*b = bucket{minute: minute}
		}
		if whole && within(firstToken, o.FirstToken) && within(betweenTokens, o.BetweenTokens) {
			b.good++
		} else {
			b.bad++
		}
	}
}

// Count returns the good and bad requests of an objective in the last minutes.
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

// AddTo returns the report with the objectives and their counts added.
func (r *Recorder) AddTo(report railentryreport.Report, objectives []railobjective.Objective) railentryreport.Report {
	for _, o := range objectives {
		report = report.WithObjective(o.Name, o.Service, o.Customer, o.Target)
		for _, minutes := range windows {
			good, bad := r.Count(o.Name, minutes)
			report = report.WithWindow(minutes, good, bad)
		}
	}
	return report
}

func within(measured, bound time.Duration) bool {
	return bound <= 0 || measured <= bound
}
