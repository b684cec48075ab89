package railfleet

import (
	"math"
	"strconv"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/limit/railenginelatency"
	"github.com/fulmarrail/fulmarrail/internal/limit/railwindow"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
)

const (
	// minBackoff is the time for which an endpoint gets no requests after a failure. It doubles with each further failure, up to
	// maxBackoff.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 5 * time.Second
	// rejectedBackoff is the time for which an endpoint gets no requests after it has rejected one without running it.
	rejectedBackoff = 150 * time.Millisecond
	// misdirectedBackoff is the time for which an endpoint gets no requests after another endpoint has responded at its address, or
	// one with other weights. It ends early when the endpoint's row changes.
	misdirectedBackoff = 1500 * time.Millisecond
	// maxFailures limits the number of times that the backoff doubles.
	maxFailures = 8
	// noticeTTL is the time for which a notice from an endpoint's carrier, the agent on its VM, takes precedence over the list.
	noticeTTL = 4 * time.Second
	// slowdownHalfLife is the time without a response that starts in which an endpoint's slowdown falls by half.
	slowdownHalfLife = 5 * time.Second
	// slowdownWeight is the weight of the newest response in the moving average of an endpoint's slowdown, and maxSlowdown bounds the
	// slowdown of one response.
	slowdownWeight = 0.2
	maxSlowdown    = 20
)

// endpoint is the state of one endpoint.
type endpoint struct {
	railinstance.Instance

	// hash identifies the endpoint in load digests.
	hash uint32
	// instanceHash identifies the instance in limits, which end with it.
	instanceHash uint32
	// ownLoad is the load from this entry.
	ownLoad     railenginelatency.Load
	recentSends railwindow.Window
	// loadUnreported is set when ownLoad has changed since it was last reported to the other entries.
	loadUnreported bool
	// slowdown is the moving average of the ratio of actual to predicted time until responses start, at least 1, as of the last one.
	slowdown float64
	// slowdownAt is the time of that response, or zero if none has started.
	slowdownAt time.Time
	// failures is the number of failures since a response last started.
	failures int
	// noticedAt is the time of the last notice of the weights version from the endpoint's carrier. The list shows it later.
	noticedAt time.Time
	// noticed is set while the last notice decides on the weights version in place of the list.
	noticed bool
	// noticedRow is the version of the row that was listed when the last notice arrived.
	noticedRow int64
	// proofRequired is set if the endpoint may serve only weights that are proven to be intact, and provenVersion is their version, or 0.
	// latestProven is the latest one that was proven, and refusedAfter its value when the last notice arrived.
	proofRequired              bool
	provenVersion              int64
	latestProven, refusedAfter int64
	// weightsChangeAt is the announced time of the next weights change, or zero if unknown.
	weightsChangeAt time.Time
	backoffUntil    time.Time
	// misdirected is set after a misdirected request until the endpoint's row or weights version changes.
	misdirected bool
	// report holds what the instance has said of itself.
	report *reportSlot
	// resumedAfter is the end of the last pause after which the endpoint got requests again.
	resumedAfter time.Time
}

// eligible reports whether an endpoint may serve a request, regardless of its load, its failures and its pauses.
func (e *endpoint) eligible(req Requirements) bool {
	switch {
	case e.Service != req.Backend.Name || e.Draining || e.report.Load().Leaving():
		return false
	case !req.RegionAllowed(e.Region) || req.ZoneOut(e.Zone):
		return false
	}
	return !req.Backend.IsEngine() || e.WeightsVersion > 0 && e.WeightsVersion >= req.MinVersion && (!e.proofRequired || e.WeightsVersion == e.provenVersion)
}

// maxRunning returns the number of requests that an endpoint may hold. It grows after a pause.
func (e *endpoint) maxRunning(now time.Time) int {
	return max(1, int(e.report.Load().LimitShare(now)*float64(e.Slots+maxQueued)))
}

// noticeDecides reports whether the carrier's last notice decides on the weights version in place of a row: for some time, and beyond that as
// long as the row has not changed since a notice of proven weights, as while the store is away.
func (e *endpoint) noticeDecides(rowVersion int64, now time.Time) bool {
	proven := e.WeightsVersion > 0 && e.WeightsVersion == e.provenVersion
	return e.noticed && (now.Sub(e.noticedAt) < noticeTTL || proven && rowVersion == e.noticedRow)
}

func (e *endpoint) update(i railinstance.Instance) {
	if e.noticeDecides(i.RowVersion, time.Now()) {
		i.WeightsVersion = e.WeightsVersion
	} else {
		e.weightsChangeAt, e.noticed = time.Time{}, false
		if i.WeightsVersion > 0 { // A row that shows older weights than are proven is late; one that shows none may be newer than the proof.
			i.WeightsVersion = max(i.WeightsVersion, e.provenVersion)
		}
	}
	if e.WeightsVersion != i.WeightsVersion || e.misdirected && e.RowVersion != i.RowVersion {
		e.backoffUntil, e.failures, e.misdirected = time.Time{}, 0, false
	}
	e.Instance = i
	e.hash = uint32(railhash.Score(i.ID, i.Address))
	e.instanceHash = uint32(railhash.Score(i.ID+" "+strconv.FormatInt(i.StartMillis, 10), i.Address))
}

func (e *endpoint) backOff(now time.Time, d time.Duration) {
	if backoffUntil := now.Add(d); backoffUntil.After(e.backoffUntil) {
		e.backoffUntil = backoffUntil
	}
}

// applyNotice applies a notice from the endpoint's carrier.
func (e *endpoint) applyNotice(version int64, changesIn time.Duration, now time.Time) {
	e.setWeights(version)
	e.noticed, e.noticedAt, e.noticedRow, e.weightsChangeAt = true, now, e.RowVersion, time.Time{}
	e.refusedAfter = e.latestProven
	if changesIn > 0 {
		e.weightsChangeAt = now.Add(changesIn)
	}
}

// setProven sets the version of the weights that are proven, or 0 for none. A proof of newer weights than were proven at the last notice, or than the
// row shows, is later than these: the notice of the end of the load was lost, or the row is late.
func (e *endpoint) setProven(version int64) {
	e.provenVersion, e.latestProven = version, max(e.latestProven, version)
	if e.noticed && version > e.refusedAfter || !e.noticed && e.WeightsVersion > 0 && version > e.WeightsVersion {
		e.setWeights(version)
		e.weightsChangeAt = time.Time{}
	}
}

// setWeights sets the version of the weights that the endpoint serves.
func (e *endpoint) setWeights(version int64) {
	if e.misdirected && e.WeightsVersion != version {
		e.backoffUntil, e.misdirected = time.Time{}, false
	}
	e.WeightsVersion = version
}

// recordOutcome applies the outcome of a request.
func (e *endpoint) recordOutcome(outcome Outcome, now time.Time) {
	switch outcome {
	case Failed:
		e.recordFailure(now)
	case Rejected:
		e.backOff(now, rejectedBackoff)
	case Misdirected:
		e.misdirected = true
		e.backOff(now, misdirectedBackoff)
	case Answered:
	}
}

// recordFailure backs off after a failure of the endpoint.
func (e *endpoint) recordFailure(now time.Time) {
	if now.Before(e.backoffUntil) {
		return // Concurrent requests report the same failure.
	}
	e.backOff(now, min(minBackoff<<e.failures, maxBackoff))
	e.failures = min(e.failures+1, maxFailures)
}

// recordStart updates the slowdown from the predicted and the actual time until a response started.
func (e *endpoint) recordStart(predicted, took time.Duration, now time.Time) {
	if predicted <= 0 {
		return
	}
	ratio := min(float64(took)/float64(predicted), maxSlowdown)
	slowdown := e.slowdownNow(now)
	e.slowdown, e.slowdownAt = slowdown+slowdownWeight*(max(ratio, 1)-slowdown), now
}

// slowdownNow returns the slowdown to expect now. It falls while no response starts, since nothing else would show that an endpoint without requests
// is as fast as before.
func (e *endpoint) slowdownNow(now time.Time) float64 {
	if e.slowdownAt.IsZero() {
		return e.slowdown
	}
	return 1 + (e.slowdown-1)*math.Exp2(-float64(now.Sub(e.slowdownAt))/float64(slowdownHalfLife))
}
