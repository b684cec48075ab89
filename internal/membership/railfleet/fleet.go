package railfleet

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/limit/railenginelatency"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
	"github.com/fulmarrail/fulmarrail/internal/store/railstoreclock"
	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// crossRegionPenalty is added to the predicted start at an endpoint of another region, and crossZonePenalty at one of another
	// zone in the same region.
	crossRegionPenalty = 15 * time.Millisecond
	crossZonePenalty   = 8 * time.Millisecond
	// maxQueued is the number of requests that an endpoint may hold beyond its slots, so that no slot stays idle.
	maxQueued = 2
	// gapShare is the fraction of a request's MaxEventGap that an engine's pending prompt processing may take.
	gapShare = 0.75
	// An engine with old weights gets a request only if the response would start before the due time even with dueFactor times the
	// predicted delay plus dueMargin.
	dueFactor = 1.5
	dueMargin = 200 * time.Millisecond
	// A response on old weights that has not started startMargin plus the engine's longest pass before the due time is cancelled. An
	// engine completes the pass that it has begun, so a later cancellation could let the response start after the due time.
	startMargin = 100 * time.Millisecond
	// drainOverrun is the time for which responses may continue past the announced time of a weights change.
	drainOverrun = time.Second
)

// Fleet is the set of endpoints with their load. It is safe for concurrent use; its exported fields must be set before its first
// use.
type Fleet struct {
	// Zone and Region are the zone and region of this entry.
	Zone, Region string
	// In any one second, an endpoint in cold start accepts ColdOvershoot times its limit per second plus ColdSlack requests.
	ColdOvershoot, ColdSlack float64
	// Share returns this entry's share of the total requests per second that an endpoint accepts from all entries together.
	Share func(endpoint string, total int) int
	// RequireProofs keeps requests for engines from weights that SetProven has not named.
	RequireProofs bool
	// Holders returns the names of the other entries that have a share of a total, and Ask sends one of them a question for a loan, which may
	// be lost. Without Ask, this entry keeps to its own share.
	Holders func(endpoint string, total int) []string
	Ask     func(entry string, loan *railproto.QuotaLoan)
	// OnChange is called after each change that may free capacity for a queued request.
	OnChange func()
	// OnRestart is called with the ID of an endpoint that has started again, or whose address another one has taken over. It may be nil.
	OnRestart func(endpoint string)
	// OnFailure is called with the address of an endpoint that has not responded correctly, is silent, or has other weights than were expected. It
	// may be nil.
	OnFailure func(address string)
	// Suspended reports whether this process has stood still and may have missed what it was told of engines' weights since. It may be nil.
	Suspended func() bool
	// StoreClock relates the versions of endpoints' rows to the time of the responses in which they have said that they leave. Without it,
	// such an endpoint does not come back.
	StoreClock *railstoreclock.Clock
	Log        *slog.Logger

	mu        sync.Mutex
	endpoints map[string]*endpoint
	// proven holds the version of the proven weights by the address of the engine.
	proven map[string]int64
	// instances holds the endpoints by the hashes of their instances, and addresses by their addresses.
	instances map[uint32]*endpoint
	addresses map[string][]*endpoint
	// reports holds the latest instance's report by the ID of the endpoint.
	reports map[string]*reportSlot
	peers   map[string]*peer
	// peerLoads holds the sum of the other entries' loads by endpoint hash.
	peerLoads map[uint32]railenginelatency.Load
	sequence  uint64
	borrower  borrower
	// limitNamed is set once an endpoint has named a limit.
	limitNamed    bool
	once          sync.Once
	loadIncreased chan struct{}
}

// Requirements describes a request and the endpoints that may serve it.
type Requirements struct {
	Backend railbackend.Backend
	// PromptTokens is the number of tokens in the prompt, and OutputTokens the estimated number in the response.
	PromptTokens, OutputTokens int
	// MaxEventGap is the longest acceptable pause between two events of the response, or 0 for no limit.
	MaxEventGap time.Duration
	// RegionAllowed reports whether the request may be sent to a region, and ZoneOut whether a zone is out of service.
	RegionAllowed, ZoneOut func(string) bool
	// MinVersion is the oldest weights version that may serve the request, or 0 for any complete version.
	MinVersion int64
	// From DueAt on, no response may start on weights older than DueVersion. 0 means that there is no such version.
	DueVersion int64
	DueAt      time.Time
	// StartWithin is the time within which the response has to start.
	StartWithin time.Duration
	// Tried holds the IDs of endpoints that must not get the request again.
	Tried map[string]bool
	// IsolationKey, if set, makes all entries prefer the same endpoint for all requests with the key, which may end it.
	IsolationKey string
	// Refresh updates what depends on the configuration, for a request that has waited. It is nil if nothing does.
	Refresh func(*Requirements)
	// Dropped returns the reason why the configuration allows no further attempt for the request, or nil. It is nil itself if nothing can.
	Dropped func() error
}

// SetInstances replaces the list of endpoints and keeps the state of those that are still listed.
func (f *Fleet) SetInstances(list []railinstance.Instance) {
	for _, id := range f.replaceInstances(list) {
		if f.OnRestart != nil {
			f.OnRestart(id)
		}
	}
	f.OnChange()
}

// replaceInstances replaces the list of endpoints. It returns the IDs of those that have restarted.
func (f *Fleet) replaceInstances(list []railinstance.Instance) (restarted []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reports == nil {
		f.reports = map[string]*reportSlot{}
	}
	endpoints := make(map[string]*endpoint, len(list))
	instances := make(map[uint32]*endpoint, len(list))
	addresses := make(map[string][]*endpoint, len(list))
	for _, i := range list {
		e := f.endpoints[i.ID]
		if e == nil || e.Address != i.Address || e.StartMillis != i.StartMillis {
			e = &endpoint{slowdown: 1, proofRequired: f.RequireProofs, provenVersion: f.proven[i.Address], latestProven: f.proven[i.Address]}
			f.Log.Info("endpoint appears", "endpoint", i.ID, "address", i.Address, "service", i.Service, "zone", i.Zone, "weights", i.WeightsVersion, "row", railversion.String(i.RowVersion))
		}
		if e.noticed && !e.noticeDecides(i.RowVersion, time.Now()) {
			f.Log.Info("endpoint's row decides again on its weights", "endpoint", i.ID, "noticed", e.WeightsVersion, "listed", i.WeightsVersion, "row", railversion.String(i.RowVersion), "noticeAge", time.Since(e.noticedAt))
		}
		e.update(i)
		e.report = f.listedReport(i)
		endpoints[i.ID], instances[e.instanceHash] = e, e
		addresses[i.Address] = append(addresses[i.Address], e)
	}
	f.expireReports(endpoints, time.Now())
	for id, old := range f.endpoints {
		e := endpoints[id]
		if e == nil {
			f.Log.Info("endpoint is gone", "endpoint", id)
		}
		if e == nil && len(addresses[old.Address]) > 0 || e != nil && e != old {
			restarted = append(restarted, id)
		}
	}
	f.endpoints, f.instances, f.addresses = endpoints, instances, addresses
	return restarted
}

// ApplyNotice applies the weights version announced by an endpoint's carrier, which precedes the list. Version 0 means that the
// endpoint accepts no new requests. If changesIn is not 0, the endpoint changes its weights after that time.
func (f *Fleet) ApplyNotice(address string, version int64, changesIn time.Duration) {
	f.notice(address, version, changesIn)
	f.OnChange()
}

func (f *Fleet) notice(address string, version int64, changesIn time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.addresses[address] {
		f.Log.Info("endpoint changes its weights", "endpoint", e.ID, "from", e.WeightsVersion, "to", version, "in", changesIn)
		e.applyNotice(version, changesIn, time.Now())
	}
}

// SetProven sets the version of the weights at an address that are proven to be intact, or 0 for none. It does not call OnChange.
func (f *Fleet) SetProven(address string, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.proven == nil {
		f.proven = map[string]int64{}
	}
	f.proven[address] = version
	if version == 0 {
		delete(f.proven, address)
	}
	for _, e := range f.addresses[address] {
		e.setProven(version)
	}
}

// Reserve picks the endpoint with the earliest predicted start of the response and counts the request there. It returns false
// if no endpoint can start the response in time.
func (f *Fleet) Reserve(req Requirements) (*Lease, bool) {
	if req.Backend.IsEngine() && f.Suspended != nil && f.Suspended() {
		return nil, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.expirePeers(now)
	var best *endpoint
	var earliest time.Duration
	for _, e := range f.endpoints {
		if !f.usable(e, req, now) {
			continue
		}
		start, ok := f.predictStart(e, req, now)
		if !ok {
			continue
		}
		start += time.Duration(rand.Int64N(int64(time.Millisecond))) // Breaks ties at random.
		if best == nil || req.prefers(e, start, best, earliest) {
			best, earliest = e, start
		}
	}
	if best == nil {
		f.borrow(req, now)
		return nil, false
	}
	return f.newLease(best, req, earliest, now), true
}

// prefers reports whether an endpoint with a predicted start is a better choice than another one.
func (r Requirements) prefers(e *endpoint, start time.Duration, other *endpoint, otherStart time.Duration) bool {
	if r.IsolationKey == "" {
		return start < otherStart
	}
	return railhash.Score(r.IsolationKey, e.ID) > railhash.Score(r.IsolationKey, other.ID)
}

// EndpointStatus is the state of an endpoint as known to this entry.
type EndpointStatus struct {
	Instance railinstance.Instance
	// InFlight is the number of requests in flight at the endpoint from all entries, as far as they have reported it.
	InFlight int
	// Leaving reports whether the endpoint is leaving, by the list or by its own responses. Paused reports whether it has asked for no requests
	// now.
	Leaving, Paused bool
}

// Snapshot returns the status of all endpoints, sorted by ID.
func (f *Fleet) Snapshot() []EndpointStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.expirePeers(now)
	var list []EndpointStatus
	for _, id := range slices.Sorted(maps.Keys(f.endpoints)) {
		e := f.endpoints[id]
		said := e.report.Load()
		list = append(list, EndpointStatus{
			Instance: e.Instance, InFlight: e.ownLoad.Add(f.peersLoad(e.hash)).Running, Leaving: e.Draining || said.Leaving(), Paused: said.Paused(now),
		})
	}
	return list
}

// CountUsable returns the number of endpoints that may currently get the request, regardless of their load.
func (f *Fleet) CountUsable(req Requirements) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, n := time.Now(), 0
	for _, e := range f.endpoints {
		if f.usable(e, req, now) {
			n++
		}
	}
	return n
}

// predictStart predicts the time until the response starts, including the network penalty. It returns false if that is too late, if
// the endpoint has no capacity for the request, if the prompt would delay the endpoint's other responses too long, or if the response
// would continue past a planned change of the weights. Without a timing model, each request in flight adds one millisecond, so that
// the least loaded endpoint is preferred.
func (f *Fleet) predictStart(e *endpoint, req Requirements, now time.Time) (time.Duration, bool) {
	if e.recentSends.Count(now) >= f.coldQuota(e, req.Backend) {
		return 0, false
	}
	load := e.ownLoad.Add(f.peersLoad(e.hash))
	if e.Slots > 0 && load.Running >= e.maxRunning(now) {
		return 0, false
	}
	if req.Backend.Engine == nil {
		return time.Duration(float64(load.Running)*e.slowdownNow(now)*float64(time.Millisecond)) + f.networkPenalty(e), true
	}
	timing := req.Backend.Engine.Timing
	prefillTime := timing.PrefillTime(req.PromptTokens)
	start := time.Duration(e.slowdownNow(now) * float64(load.TimeToFirstToken(timing, prefillTime)+load.SlotWait(timing, e.Slots, req.Backend.Engine.MeanOutputTokens)))
	// The extra time of a long prompt is not counted against it: otherwise shorter prompts that fill the engines would starve it.
	extraPrefillTime := time.Duration(0)
	if meanPromptTokens := req.Backend.Engine.MeanPromptTokens; meanPromptTokens > 0 {
		extraPrefillTime = max(prefillTime-timing.PrefillTime(meanPromptTokens), 0)
	}
	switch {
	case start-extraPrefillTime > req.StartWithin:
		return 0, false
	case e.WeightsVersion < req.DueVersion && now.Add(time.Duration(dueFactor*float64(start))+dueMargin).After(req.DueAt):
		return 0, false
	case req.MaxEventGap > 0 && load.PendingPrefill > 0 && load.DecodeStall(timing, prefillTime)-extraPrefillTime > time.Duration(gapShare*float64(req.MaxEventGap)):
		return 0, false
	case !e.weightsChangeAt.IsZero() && now.Add(start+load.DecodeTime(timing, req.OutputTokens)).After(e.weightsChangeAt.Add(drainOverrun)):
		return 0, false
	}
	return start + f.networkPenalty(e), true
}

// networkPenalty returns the penalty for an endpoint in another zone or region.
func (f *Fleet) networkPenalty(e *endpoint) time.Duration {
	switch {
	case e.Region != f.Region:
		return crossRegionPenalty
	case e.Zone != f.Zone:
		return crossZonePenalty
	}
	return 0
}
