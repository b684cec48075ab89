package railwatcher

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevisioncache"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/limit/railquarantine"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/membership/railroster"
	"github.com/fulmarrail/fulmarrail/internal/routing/railcandidate"
	"github.com/fulmarrail/fulmarrail/internal/store/railera"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// suspectAfter is the time without a heartbeat reply after which an endpoint gets no new requests.
	suspectAfter   = 3 * time.Second
	peerSampleSize = 4
	// minWatchers is the number of entries that watch an endpoint regardless of their subsets, so that every endpoint is watched.
	minWatchers = 2
	// roundTripWeight is the weight of the newest sample in the moving average of the round-trip time.
	roundTripWeight = 0.2
	exchangeTimeout = 3 * time.Second
	// partChangeDelay is the delay of a report of changes, so that an endpoint that ends under many requests needs only one.
	partChangeDelay = 5 * time.Millisecond
)

// target is the state of a watched endpoint.
type target struct {
	member          railmember.Member
	incarnation     string
	revision        uint64
	running         int
	limit           int
	sentSinceReport int
	// awaitingDecision is the number of requests sent that the endpoint's agent has neither admitted nor rejected.
	awaitingDecision int
	serving          bool
	leaving          bool
	// suspected is set after a failed or rejected request until the next heartbeat reply.
	suspected bool
	// pausedUntil is the time until which the endpoint has asked for no requests, or zero.
	pausedUntil time.Time
	spacing     spacing
	// openingTimer calls OnUpdate when the endpoint opens again. It is nil until the first time.
	openingTimer      *time.Timer
	heartbeatInFlight bool
	// offeredRevision is the revision carried by the heartbeat in flight. resend is set when a newer revision has to be sent
	// once that heartbeat completes.
	offeredRevision uint64
	resend          bool
	lastSeen        time.Time
	roundTrip       time.Duration
}

// Watcher tracks the state of an entry's endpoints and of a sample of the other entries. Its exported fields must be set before
// Run is called.
type Watcher struct {
	Name      string
	Roster    *railroster.Roster
	Revisions *railrevisioncache.Cache
	// Era is what this entry knows of the platform's store, which it tells others and learns from them.
	Era      *railera.Tracker
	Timer    *railtimer.Service
	Interval time.Duration
	// Quarantine is what the entries share of requests under which endpoints end.
	Quarantine *railquarantine.Quarantine
	// Connect returns a client for the process at an address.
	Connect func(ctx context.Context, address string) railproto.DRPCNodeClient
	// OnUpdate is called after each change that may free capacity for a queued request.
	OnUpdate func()
	// Leaving reports whether this entry is shutting down.
	Leaving func() bool
	Log     *slog.Logger

	mu            sync.Mutex
	targets       map[string]*target
	peersLastSeen map[string]time.Time
	selected      []railmember.Member
	// primary holds the endpoints whose primary watcher is this entry.
	primary map[string]bool
	// selectionKey holds the list generation and the revision number that selected was computed from.
	selectionKey    [2]uint64
	revisionQueries int
	zoneReturnedAt  map[string]time.Time
	zoneOut         map[string]bool
}

// Run exchanges heartbeats until ctx is done. It pushes a new revision immediately to the endpoints whose primary watcher is
// this entry, so that each endpoint gets it once; the next heartbeat round delivers it to any that missed it.
func (w *Watcher) Run(ctx context.Context) {
	ticks, stop := w.Timer.Subscribe(w.Interval)
	defer stop()
	for {
		changed := w.Revisions.Changed()
		select {
		case <-ticks:
			w.SendHeartbeats(ctx)
		case <-changed:
			w.pushRevision(ctx)
		case <-w.Quarantine.Changed():
			w.pushParts(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// pushParts reports at once to the sampled entries what this entry has learned of shared parts. The others ask in their heartbeats.
func (w *Watcher) pushParts(ctx context.Context) {
	railtimer.Sleep(ctx, partChangeDelay)
	if changes := w.Quarantine.Changes(); changes != nil {
		w.heartbeatPeers(ctx, changes)
	}
}

func (w *Watcher) pushRevision(ctx context.Context) {
	revision, ok := w.Revisions.Current()
	if !ok {
		return
	}
	w.updateZones(revision)
	for _, m := range w.selectTargets(revision) {
		if w.isPrimaryWatcher(m.Name) {
			w.heartbeatTarget(ctx, m)
		}
	}
}

func (w *Watcher) isPrimaryWatcher(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.primary[name]
}

// SendHeartbeats sends one round of heartbeats without waiting for the replies.
func (w *Watcher) SendHeartbeats(ctx context.Context) {
	revision, ok := w.Revisions.Current()
	if !ok {
		w.queryRevision(ctx)
		return
	}
	w.updateZones(revision)
	selected := w.selectTargets(revision)
	keep := make(map[string]bool, len(selected))
	for _, m := range selected {
		keep[m.Name] = true
		w.heartbeatTarget(ctx, m)
	}
	w.mu.Lock()
	maps.DeleteFunc(w.targets, func(name string, _ *target) bool { return !keep[name] })
	w.mu.Unlock()
	w.heartbeatPeers(ctx, nil)
}

// Candidates returns the endpoints of a service that can currently get new requests.
func (w *Watcher) Candidates(service string) []railcandidate.Candidate {
	revision, ok := w.Revisions.Current()
	if !ok {
		return nil
	}
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []railcandidate.Candidate
	for _, t := range w.targets {
		if t.member.Service != service || !t.serving || t.leaving || now.Sub(t.lastSeen) > suspectAfter || revision.ZoneOut(t.member.Zone) {
			continue
		}
		if t.spacing.closed(now) || t.spacing.awaits(t.awaitingDecision, t.roundTrip) {
			continue
		}
		c := railcandidate.Candidate{
			Member: t.member, Incarnation: t.incarnation,
			Running: t.running + t.sentSinceReport, Limit: t.limit, AwaitingDecision: t.awaitingDecision, RoundTrip: t.roundTrip,
		}
		list = append(list, c.WithLimitShare(w.rampUpShare(revision, t.member.Zone, now)))
	}
	return list
}

// RecordSent records that a request has been sent to an endpoint.
func (w *Watcher) RecordSent(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.targets[name]; t != nil {
		t.sentSinceReport++
		t.awaitingDecision++
	}
}

// RecordDecision records that an endpoint's agent has admitted or rejected a request that was sent to it.
func (w *Watcher) RecordDecision(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.targets[name]; t != nil && t.awaitingDecision > 0 {
		t.awaitingDecision--
	}
}

// UpdateLoad applies a load report from a reply. It ignores a report of another incarnation of the endpoint.
func (w *Watcher) UpdateLoad(name, incarnation string, load *railproto.Load) {
	w.mu.Lock()
	if t := w.targets[name]; t != nil && t.incarnation == incarnation && load != nil {
		t.updateLoad(load)
		w.applySpacing(t, load)
	}
	w.mu.Unlock()
	w.OnUpdate()
}

// Suspect excludes an endpoint from the candidates until its next heartbeat reply.
func (w *Watcher) Suspect(name, incarnation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.targets[name]; t != nil && t.incarnation == incarnation {
		t.serving, t.suspected = false, true
	}
}

// FirstPauseEnd returns the time from which on the first of a service's endpoints takes requests. It returns false unless all endpoints that could
// serve otherwise have asked for no requests until then, or have got as many as they take.
func (w *Watcher) FirstPauseEnd(service string) (time.Time, bool) {
	revision, _ := w.Revisions.Current()
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	var first time.Time
	for _, t := range w.targets {
		takesFrom := t.takesFrom()
		switch {
		case t.member.Service != service || t.leaving || now.Sub(t.lastSeen) > suspectAfter || revision.ZoneOut(t.member.Zone):
		case !t.serving && !t.suspected && !now.Before(t.pausedUntil): // Something else keeps it from serving.
		case !now.Before(takesFrom):
			return time.Time{}, false
		case first.IsZero() || takesFrom.Before(first):
			first = takesFrom
		}
	}
	return first, !first.IsZero()
}

// Isolated reports whether at most half of the sampled entries have replied within the given time. It returns false if no
// entries are sampled.
func (w *Watcher) Isolated(timeout time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	reached := 0
	for _, lastSeen := range w.peersLastSeen {
		if time.Since(lastSeen) < timeout {
			reached++
		}
	}
	return len(w.peersLastSeen) > 0 && reached*2 <= len(w.peersLastSeen)
}

// VisitEndpoints calls visit with the last known state of each watched endpoint, in the order of their names. Serving is false
// for an endpoint that has not replied for suspectAfter.
func (w *Watcher) VisitEndpoints(visit func(m railmember.Member, last *railproto.HeartbeatReply)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(w.targets)) {
		t := w.targets[name]
		visit(t.member, &railproto.HeartbeatReply{
			Incarnation: t.incarnation, Revision: t.revision, Leaving: t.leaving,
			Serving: t.serving && time.Since(t.lastSeen) <= suspectAfter,
			Load:    &railproto.Load{Running: int32(t.running), Limit: int32(t.limit)},
		})
	}
}

// updateZones records when a zone returned to service, which is when its traffic starts to ramp up.
func (w *Watcher) updateZones(revision railrevision.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.zoneOut == nil {
		w.zoneOut, w.zoneReturnedAt = map[string]bool{}, map[string]time.Time{}
	}
	for _, zone := range revision.Spec().Zones() {
		if w.zoneOut[zone.Name] && !zone.IsOut() {
			w.zoneReturnedAt[zone.Name] = time.Now()
		}
		w.zoneOut[zone.Name] = zone.IsOut()
	}
}

// rampUpShare returns the fraction of its limits that a zone may use, which grows from 0 to 1 after the zone's return.
func (w *Watcher) rampUpShare(revision railrevision.Revision, name string, now time.Time) float64 {
	zone, ok := revision.Spec().Zone(name)
	returnedAt, returned := w.zoneReturnedAt[name]
	if !ok || !returned || zone.RampUp <= 0 {
		return 1
	}
	return min(float64(now.Sub(returnedAt))/float64(zone.RampUp), 1)
}

func (t *target) updateLoad(load *railproto.Load) {
	t.running = int(load.GetRunning())
	t.limit = int(load.GetLimit())
	t.sentSinceReport = 0
}

func (t *target) applyReply(reply *railproto.HeartbeatReply, roundTrip time.Duration, listedLeaving bool) {
	if t.roundTrip == 0 || t.incarnation != reply.GetIncarnation() {
		t.roundTrip = roundTrip
	}
	t.roundTrip += time.Duration(roundTripWeight * float64(roundTrip-t.roundTrip))
	t.incarnation = reply.GetIncarnation()
	t.revision = reply.GetRevision()
	t.serving, t.suspected = reply.GetServing(), false
	t.pausedUntil = time.Time{}
	if pause := reply.GetPauseMillis(); pause > 0 {
		t.pausedUntil = time.Now().Add(time.Duration(pause) * time.Millisecond)
	}
	t.leaving = reply.GetLeaving() || listedLeaving
	t.lastSeen = time.Now()
	t.updateLoad(reply.GetLoad())
}
