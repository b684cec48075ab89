package railquarantine

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

const (
	// minTrialEnds is the number of engines that must have ended under trials of a part before it is quarantined.
	minTrialEnds = 2
	// minQuarantineTime is the time for which parts are quarantined at first, and shortQuarantineTime the time for parts that have had successful
	// responses lately. It is multiplied by quarantineFactor with each further engine that ends by a trial, up to maxQuarantineTime.
	minQuarantineTime   = time.Minute
	shortQuarantineTime = 10 * time.Second
	quarantineFactor    = 4
	maxQuarantineTime   = time.Hour
	// maxExtension is the largest share by which a quarantine lasts longer at an entry, so that the others learn from the first trial after it.
	maxExtension = 0.3
	// sweepInterval is the interval at which parts that need not be kept are dropped, and fullSweepInterval the shortest one if there are more
	// than maxParts.
	sweepInterval     = 10 * time.Second
	fullSweepInterval = 100 * time.Millisecond
	maxParts          = 1 << 14
)

var (
	// ErrOnTrial means that another request with a part under suspicion is still running.
	ErrOnTrial = errors.New("another request with a part under suspicion is running")

	quarantinedParts = metrics.NewCounter("fulmarrail_quarantined_parts_total")
	trialsStarted    = metrics.NewCounter("fulmarrail_part_trials_total")
)

// QuarantinedError is the error of a request with quarantined parts.
type QuarantinedError struct {
	Parts []string
	// Remaining is the time until the quarantine ends.
	Remaining time.Duration
}

// Error returns a description of the error.
func (e *QuarantinedError) Error() string {
	return "engines have ended under a part of the request"
}

// Quarantine decides which requests may run. Its exported fields must be set before its first use. It is safe for concurrent use.
type Quarantine struct {
	Log *slog.Logger

	mu     sync.Mutex
	once   sync.Once
	parts  map[string]*part
	groups []group
	broken []brokenAttempt
	// waiting is closed when a trial ends or a group is added.
	waiting chan struct{}
	// changed receives a value after a change that this entry has to report to the others.
	changed chan struct{}
	sweptAt time.Time
	// extension is the share by which quarantines last longer at this entry.
	extension float64
}

// Enter returns a pass for an attempt to run a request whose prompt has the given parts. While another request with a suspected part is on
// trial, it waits until waitUntil. The error is a QuarantinedError, ErrOnTrial, or that of ctx; the request must not run then.
func (q *Quarantine) Enter(ctx context.Context, parts []string, waitUntil time.Time) (*Pass, error) {
	if len(parts) == 0 {
		return &Pass{}, nil
	}
	q.init()
	for {
		pass, w, err := q.tryEnter(parts)
		if err != nil || pass != nil {
			return pass, err
		}
		if err := w.wait(ctx, waitUntil); err != nil {
			return nil, err
		}
	}
}

// tryEnter returns a pass, or what to wait for before it is worth to try again.
func (q *Quarantine) tryEnter(parts []string) (*Pass, wait, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.sweep(now)
	if g := q.quarantinedGroup(parts, now); g != nil {
		return nil, wait{}, &QuarantinedError{Parts: g.parts, Remaining: g.tillWith(q.extension).Sub(now)}
	}
	suspects := q.suspects(parts, now)
	if until := q.waitsUntil(suspects, now); until.After(now) {
		return nil, wait{woken: q.waiting, until: until}, nil
	}
	return &Pass{quarantine: q, parts: parts, suspects: suspects, isolationKey: q.isolationKey(suspects)}, wait{}, nil
}

// wait is what a request with a suspected part waits for: that woken is closed, or the time until.
type wait struct {
	woken <-chan struct{}
	until time.Time
}

// wait returns nil once it is worth to try again, and ErrOnTrial if that is not before the deadline.
func (w wait) wait(ctx context.Context, deadline time.Time) error {
	expired := time.NewTimer(time.Until(deadline))
	defer expired.Stop()
	over := time.NewTimer(time.Until(w.until))
	defer over.Stop()
	select {
	case <-w.woken:
		return nil
	case <-expired.C:
		return ErrOnTrial
	case <-over.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Changed returns a channel that receives a value when there is something for Changes to return.
func (q *Quarantine) Changed() <-chan struct{} {
	q.init()
	return q.changed
}

func (q *Quarantine) init() {
	q.once.Do(func() {
		q.parts, q.waiting, q.changed = map[string]*part{}, make(chan struct{}), make(chan struct{}, 1)
		q.extension = maxExtension * rand.Float64()
	})
}

// part returns the state of a part, which may be new.
func (q *Quarantine) part(id string) *part {
	p := q.parts[id]
	if p == nil {
		p = &part{}
		q.parts[id] = p
	}
	return p
}

// quarantinedGroup returns a group that keeps a request with the given parts from running, or nil.
func (q *Quarantine) quarantinedGroup(parts []string, now time.Time) *group {
	for i := range q.groups {
		if g := &q.groups[i]; now.Before(g.tillWith(q.extension)) && g.within(parts) {
			return g
		}
	}
	return nil
}

// suspects returns those of the parts that are under suspicion.
func (q *Quarantine) suspects(parts []string, now time.Time) []string {
	var list []string
	for _, id := range parts {
		p := q.parts[id]
		if p == nil || slices.Contains(list, id) {
			continue
		}
		p.forget(now)
		if p.suspect() {
			list = append(list, id)
		}
	}
	return list
}

// waitsUntil returns the time until which trials of the suspects keep others waiting. It is not after now if there are none.
func (q *Quarantine) waitsUntil(suspects []string, now time.Time) time.Time {
	until := now
	for _, id := range suspects {
		until = later(until, q.parts[id].trialUntil())
	}
	return until
}

// isolationKey returns the suspects with the most ends as one key, so that requests that share a less suspected part run elsewhere.
func (q *Quarantine) isolationKey(suspects []string) string {
	most := q.mostEnds(suspects)
	worst := slices.DeleteFunc(slices.Clone(suspects), func(id string) bool { return len(q.parts[id].ends) < most })
	return strings.Join(worst, ",")
}

// mostEnds returns the largest number of ends that one of the parts is charged with.
func (q *Quarantine) mostEnds(parts []string) int {
	most := 0
	for _, id := range parts {
		most = max(most, len(q.part(id).ends))
	}
	return most
}

func (q *Quarantine) wakeWaiting() {
	close(q.waiting)
	q.waiting = make(chan struct{})
}

func (q *Quarantine) notifyChange() {
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// sweep drops what need not be kept. If there are too many parts, it also drops some under which engines have not ended by trials.
func (q *Quarantine) sweep(now time.Time) {
	interval, full := sweepInterval, len(q.parts) >= maxParts
	if full {
		interval = fullSweepInterval
	}
	if now.Sub(q.sweptAt) < interval {
		return
	}
	q.sweptAt = now
	for id, p := range q.parts {
		excess := full && len(q.parts) > maxParts/2 && p.trial == nil && len(p.ends) <= 1 && p.trialEnds() == 0
		if p.forget(now) || excess {
			delete(q.parts, id)
		}
	}
	q.dropExpiredGroups(now)
}

func (q *Quarantine) dropExpiredGroups(now time.Time) {
	q.groups = slices.DeleteFunc(q.groups, func(g group) bool { return !now.Before(g.tillWith(q.extension)) })
}
