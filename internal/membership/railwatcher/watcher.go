package railwatcher

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railkeeper"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/membership/railroster"
	"github.com/fulmarrail/fulmarrail/internal/routing/railcandidate"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// suspectAfter is the silence after which an endpoint gets no new work.
	suspectAfter = 3 * time.Second
	peerSample   = 4
	// guardians is the number of entries that watch an endpoint whatever their subsets, so that none goes unwatched.
	guardians     = 2
	averageWeight = 0.2
	pushTimeout   = 3 * time.Second
)

type target struct {
	member      railmember.Member
	incarnation string
	revision    uint64
	running     int
	limit       int
	sent        int
	waiting     int
	serving     bool
	leaving     bool
	busy        bool
	// offered is the revision that the heartbeat on its way carries; behind says that a newer one waits for its end.
	offered   uint64
	behind    bool
	seen      time.Time
	roundTrip time.Duration
}

// Watcher holds what one entry knows of its endpoints and of a sample of the other entries; its fields are set before Run.
type Watcher struct {
	Name     string
	Roster   *railroster.Roster
	Keeper   *railkeeper.Keeper
	Timer    *railtimer.Service
	Interval time.Duration
	// Connect returns a client of the process at an address.
	Connect func(ctx context.Context, address string) railproto.DRPCNodeClient
	// Updated is called after each change that may make room for a waiting request.
	OnUpdate func()
	// Leaving reports whether this entry is about to go.
	Leaving func() bool
	Log     *slog.Logger

	mu       sync.Mutex
	targets  map[string]*target
	peers    map[string]time.Time
	watched  []railmember.Member
	charges  map[string]bool
	basis    [2]uint64
	asked    int
	zoneBack map[string]time.Time
	zoneOut  map[string]bool
}

// Run exchanges heartbeats until ctx is done. A new revision goes at once to the endpoints whose first guardian this entry
// is, so that each gets it once; the next round brings it to those that were missed.
func (w *Watcher) Run(ctx context.Context) {
	ticks, stop := w.Timer.Subscribe(w.Interval)
	defer stop()
	for {
		changed := w.Keeper.Changed()
		select {
		case <-ticks:
			w.SendHeartbeats(ctx)
		case <-changed:
			w.push(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watcher) push(ctx context.Context) {
	revision, ok := w.Keeper.Current()
	if !ok {
		return
	}
	w.noteZones(revision)
	for _, m := range w.selection(revision) {
		if w.isFirstGuardian(m.Name) {
			w.beatTarget(ctx, m)
		}
	}
}

func (w *Watcher) isFirstGuardian(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.charges[name]
}

// SendHeartbeats sends one round of heartbeats without waiting for the answers.
func (w *Watcher) SendHeartbeats(ctx context.Context) {
	revision, ok := w.Keeper.Current()
	if !ok {
		w.askForRevision(ctx)
		return
	}
	w.noteZones(revision)
	watched := w.selection(revision)
	kept := make(map[string]bool, len(watched))
	for _, m := range watched {
		kept[m.Name] = true
		w.beatTarget(ctx, m)
	}
	w.mu.Lock()
	maps.DeleteFunc(w.targets, func(name string, _ *target) bool { return !kept[name] })
	w.mu.Unlock()
	for _, m := range w.sample() {
		go w.beatPeer(ctx, m)
	}
}

// Candidates returns the endpoints of a service that may get new work now.
func (w *Watcher) Candidates(service string) []railcandidate.Candidate {
	revision, ok := w.Keeper.Current()
	if !ok {
		return nil
	}
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []railcandidate.Candidate
	for _, t := range w.targets {
		if t.member.Service != service || !t.serving || t.leaving || now.Sub(t.seen) > suspectAfter || revision.ZoneOut(t.member.Zone) {
			continue
		}
		c := railcandidate.Candidate{
			Member: t.member, Incarnation: t.incarnation,
			Running: t.running + t.sent, Limit: t.limit, AwaitingDecision: t.waiting, RoundTrip: t.roundTrip,
		}
		list = append(list, c.WithLimitShare(w.share(revision, t.member.Zone, now)))
	}
	return list
}

// RecordSent notes that a request has been sent to an endpoint.
func (w *Watcher) RecordSent(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.targets[name]; t != nil {
		t.sent++
		t.waiting++
	}
}

// RecordDecision notes that an endpoint's agent has admitted or refused a request that was sent to it.
func (w *Watcher) RecordDecision(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.targets[name]; t != nil && t.waiting > 0 {
		t.waiting--
	}
}

// UpdateLoad takes a load report that came with a reply of an endpoint's incarnation.
func (w *Watcher) UpdateLoad(name, incarnation string, load *railproto.Load) {
	w.mu.Lock()
	if t := w.targets[name]; t != nil && t.incarnation == incarnation && load != nil {
		t.report(load)
	}
	w.mu.Unlock()
	w.OnUpdate()
}

// Suspect takes an endpoint out of the choice until its next heartbeat.
func (w *Watcher) Suspect(name, incarnation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.targets[name]; t != nil && t.incarnation == incarnation {
		t.serving = false
	}
}

// Isolated reports whether none of the sampled entries has been reached for the given time, though there are some.
func (w *Watcher) Isolated(after time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	reached := 0
	for _, seen := range w.peers {
		if time.Since(seen) < after {
			reached++
		}
	}
	return len(w.peers) > 0 && reached*2 <= len(w.peers)
}

// VisitEndpoints calls visit with each watched endpoint's last heartbeat; serving is false for a silent one.
func (w *Watcher) VisitEndpoints(visit func(m railmember.Member, last *railproto.HeartbeatReply)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(w.targets)) {
		t := w.targets[name]
		visit(t.member, &railproto.HeartbeatReply{
			Incarnation: t.incarnation, Revision: t.revision, Leaving: t.leaving,
			Serving: t.serving && time.Since(t.seen) <= suspectAfter,
			Load:    &railproto.Load{Running: int32(t.running), Limit: int32(t.limit)},
		})
	}
}

// noteZones remembers when a zone came back, from which its share of new work ramps up.
func (w *Watcher) noteZones(revision railrevision.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.zoneOut == nil {
		w.zoneOut, w.zoneBack = map[string]bool{}, map[string]time.Time{}
	}
	for _, zone := range revision.Spec().Zones() {
		if w.zoneOut[zone.Name] && !zone.IsOut() {
			w.zoneBack[zone.Name] = time.Now()
		}
		w.zoneOut[zone.Name] = zone.IsOut()
	}
}

// share returns the share of its limits that a zone gets, which grows after its return.
func (w *Watcher) share(revision railrevision.Revision, name string, now time.Time) float64 {
	zone, ok := revision.Spec().Zone(name)
	back, returned := w.zoneBack[name]
	if !ok || !returned || zone.RampUp <= 0 {
		return 1
	}
	return min(float64(now.Sub(back))/float64(zone.RampUp), 1)
}

func (t *target) report(load *railproto.Load) {
	t.running = int(load.GetRunning())
	t.limit = int(load.GetLimit())
	t.sent = 0
}

func (t *target) heard(reply *railproto.HeartbeatReply, roundTrip time.Duration, listedLeaving bool) {
	if t.roundTrip == 0 || t.incarnation != reply.GetIncarnation() {
		t.roundTrip = roundTrip
	}
	t.roundTrip += time.Duration(averageWeight * float64(roundTrip-t.roundTrip))
	t.incarnation = reply.GetIncarnation()
	t.revision = reply.GetRevision()
	t.serving = reply.GetServing()
	t.leaving = reply.GetLeaving() || listedLeaving
	t.seen = time.Now()
	t.report(reply.GetLoad())
}
