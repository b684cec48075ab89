package railfleet

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
)

const (
	// otherRegionCost is the time for which an endpoint of the own region is preferred to one of another region, and
	// otherZoneCost the same for zones.
	otherRegionCost = 15 * time.Millisecond
	otherZoneCost   = 8 * time.Millisecond
	// queueDepth is the number of requests that an endpoint may hold beyond its slots, so that none stands idle.
	queueDepth = 2
	// gapShare is the share of the longest pause on time that the reading of prompts may take up at an engine.
	gapShare = 0.75
	// dueFactor and dueMargin say how much later than predicted an answer on old weights may begin.
	dueFactor = 1.5
	dueMargin = 200 * time.Millisecond
	// beginMargin is the time, beside that of an engine's longest pass, which ends what it has begun, before the end of old weights'
	// time at which an answer that has not begun on them is taken back.
	beginMargin = 100 * time.Millisecond
	// drainTail is the time for which answers may go on at an endpoint that is about to change its weights.
	drainTail = time.Second
	// coldShare is the share of the bound on requests a second that the entries together use.
	coldShare = 0.9
)

// Fleet is safe for concurrent use; its fields are set before its first use.
type Fleet struct {
	// Zone and Region are those of this entry.
	Zone, Region string
	// ColdOvershoot and ColdSlack say how much more than its cold limit an endpoint bears in one second.
	ColdOvershoot, ColdSlack float64
	// Share returns the part that this entry may use of a number of requests a second that an endpoint bears from all entries.
	Share func(endpoint string, total int) int
	// Changed is called after each change that may give room to a waiting request.
	OnChange func()
	Log      *slog.Logger

	mu        sync.Mutex
	endpoints map[string]*endpoint
	peers     map[string]*peer
	sequence  uint64
	once      sync.Once
	news      chan struct{}
}

// Requirements is what a request needs of an endpoint.
type Requirements struct {
	Backend railbackend.Backend
	// Prompt is the number of prompt tokens, and Answer an estimate of the answer's.
	PromptTokens, AnswerTokens int
	// Gap is the longest pause between two events of an answer on time, or 0 for no bound.
	MaxEventGap time.Duration
	// Allows reports whether the request may go to a region, and ZoneOut whether a zone gets nothing.
	RegionAllowed, ZoneOut func(string) bool
	// Version is the oldest version of weights that may serve, or 0 for any complete one.
	MinVersion int64
	// DueVersion is the version of weights from whose time, DueAt, on no answer may begin on an older one; 0 says that there is none.
	DueVersion int64
	DueAt      time.Time
	// StartWithin is the time within which the answer is to begin.
	StartWithin time.Duration
	// Tried holds the ids of endpoints that are not to be asked again.
	Tried map[string]bool
}

// SetInstances takes over the list of endpoints.
func (f *Fleet) SetInstances(list []railinstance.Instance) {
	f.mu.Lock()
	next := make(map[string]*endpoint, len(list))
	for _, i := range list {
		e := f.endpoints[i.ID]
		if e == nil || e.Address != i.Address || e.StartMillis != i.StartMillis {
			e = &endpoint{pace: 1}
			f.Log.Info("endpoint appears", "endpoint", i.ID, "address", i.Address, "service", i.Service, "zone", i.Zone, "weights", i.WeightsVersion, "row", i.RowVersion)
		}
		e.update(i)
		next[i.ID] = e
	}
	for id := range f.endpoints {
		if next[id] == nil {
			f.Log.Info("endpoint is gone", "endpoint", id)
		}
	}
	f.endpoints = next
	f.mu.Unlock()
	f.OnChange()
}

// ApplyNotice takes over the version that an endpoint's carrier tells, before the list shows it, and the time after which it is to
// change, if that is not 0; version 0 says that the endpoint takes nothing new.
func (f *Fleet) ApplyNotice(address string, version int64, changesIn time.Duration) {
	f.mu.Lock()
	for _, e := range f.endpoints {
		if e.Address == address {
			f.Log.Info("endpoint changes its weights", "endpoint", e.ID, "from", e.WeightsVersion, "to", version, "in", changesIn)
			e.notice(version, changesIn, time.Now())
		}
	}
	f.mu.Unlock()
	f.OnChange()
}

// Reserve chooses the endpoint at which the answer is predicted to begin soonest and counts the request there, or reports
// false when none can begin it in time.
func (f *Fleet) Reserve(need Requirements) (*Lease, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var best *endpoint
	var soonest time.Duration
	for _, e := range f.endpoints {
		if !f.usable(e, need, now) {
			continue
		}
		begin, ok := f.predict(e, need)
		if !ok {
			continue
		}
		begin += time.Duration(rand.Int64N(int64(time.Millisecond))) // Spreads equal choices.
		if best == nil || begin < soonest {
			best, soonest = e, begin
		}
	}
	if best == nil {
		return nil, false
	}
	return f.lease(best, need, soonest, now), true
}

// EndpointStatus is an endpoint as this entry sees it.
type EndpointStatus struct {
	Instance railinstance.Instance
	// Running is the number of requests in flight there, from all entries as far as they tell.
	InFlight int
}

// Snapshot returns all endpoints in the order of their ids.
func (f *Fleet) Snapshot() []EndpointStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []EndpointStatus
	for _, id := range slices.Sorted(maps.Keys(f.endpoints)) {
		e := f.endpoints[id]
		list = append(list, EndpointStatus{Instance: e.Instance, InFlight: e.load.Add(f.elsewhere(e.hash)).Running})
	}
	return list
}

// CountUsable returns the number of endpoints of a service that could take a request now, whatever their load.
func (f *Fleet) CountUsable(need Requirements) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, n := time.Now(), 0
	for _, e := range f.endpoints {
		if f.usable(e, need, now) {
			n++
		}
	}
	return n
}

// usable reports whether an endpoint may be asked at all.
func (f *Fleet) usable(e *endpoint, need Requirements, now time.Time) bool {
	switch {
	case e.Service != need.Backend.Name || e.Draining || need.Tried[e.ID]:
		return false
	case now.Before(e.avoidUntil):
		return false
	case !need.RegionAllowed(e.Region) || need.ZoneOut(e.Zone):
		return false
	case need.Backend.IsEngine() && (e.WeightsVersion == 0 || e.WeightsVersion < need.MinVersion):
		return false
	}
	return f.bears(e, need.Backend, 0)
}

// predict returns the time until an answer begins, with the cost of the way there, and whether that is soon enough and
// within what the endpoint bears.
func (f *Fleet) predict(e *endpoint, need Requirements) (time.Duration, bool) {
	if !f.bears(e, need.Backend, e.window.Count(time.Now())) {
		return 0, false
	}
	load := e.load.Add(f.elsewhere(e.hash))
	if e.Slots > 0 && load.Running >= e.Slots+queueDepth {
		return 0, false
	}
	if need.Backend.Engine == nil {
		return time.Duration(float64(load.Running)*e.pace*float64(time.Millisecond)) + f.way(e), true
	}
	timing := need.Backend.Engine.Timing
	read := timing.ReadTime(need.PromptTokens)
	begin := time.Duration(e.pace * float64(load.TimeToFirstToken(timing, read)+load.SlotWait(timing, e.Slots, need.Backend.Engine.UsualAnswer)))
	// A long prompt must not be kept out by its own length for as long as shorter ones fill the engines.
	long := time.Duration(0)
	if usual := need.Backend.Engine.UsualPrompt; usual > 0 {
		long = max(read-timing.ReadTime(usual), 0)
	}
	switch {
	case begin-long > need.StartWithin:
		return 0, false
	case e.WeightsVersion < need.DueVersion && time.Now().Add(time.Duration(dueFactor*float64(begin))+dueMargin).After(need.DueAt):
		return 0, false
	case need.MaxEventGap > 0 && load.PendingPrefill > 0 && load.DecodeStall(timing, read)-long > time.Duration(gapShare*float64(need.MaxEventGap)):
		return 0, false
	case !e.changesAt.IsZero() && time.Now().Add(begin+load.DecodeTime(timing, need.AnswerTokens)).After(e.changesAt.Add(drainTail)):
		return 0, false
	}
	return begin + f.way(e), true
}

// way returns the cost of the way to an endpoint.
func (f *Fleet) way(e *endpoint) time.Duration {
	switch {
	case e.Region != f.Region:
		return otherRegionCost
	case e.Zone != f.Zone:
		return otherZoneCost
	}
	return 0
}

// bears reports whether this entry may send one more request to an endpoint after a number of them in the last second: an
// endpoint may turn cold at any moment.
func (f *Fleet) bears(e *endpoint, b railbackend.Backend, sent int) bool {
	if b.ColdPerSecond <= 0 {
		return true
	}
	borne := coldShare * (b.ColdPerSecond*f.ColdOvershoot + f.ColdSlack)
	return sent < f.Share(e.ID, int(borne))
}
