package railfleet

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/limit/railpass"
	"github.com/fulmarrail/fulmarrail/internal/limit/railwindow"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
)

const (
	// firstAvoidance is the time for which an endpoint is left after a failure; it doubles with each further one.
	firstAvoidance   = 400 * time.Millisecond
	longestAvoidance = 5 * time.Second
	// refusedAvoidance is the time for which an endpoint is left that has refused a request as not run.
	refusedAvoidance = 150 * time.Millisecond
	// misdirectedAvoidance is the time for which an endpoint is left at whose address another one answers, or other weights,
	// unless its entry changes before.
	misdirectedAvoidance = 1500 * time.Millisecond
	maxStrikes           = 8
	// noticeFor is the time for which a carrier's notice goes before the list.
	noticeFor = 4 * time.Second
	// paceWeight is the weight of the newest answer in an endpoint's pace.
	paceWeight  = 0.2
	slowestPace = 20
)

// endpoint is one endpoint with what this entry knows of it.
type endpoint struct {
	railinstance.Instance

	hash   uint32
	load   railpass.Load
	window railwindow.Window
	// untold says that the load has changed since the other entries were told.
	untold bool
	// pace is the time that answers take to begin, over what was predicted.
	pace    float64
	strikes int
	// noticed is when the carrier beside the endpoint last told its version, which the list shows later.
	noticed time.Time
	// changesAt is when its weights are to change, if that is known.
	changesAt  time.Time
	avoidUntil time.Time
	// misdirected says that the endpoint is left until its entry changes.
	misdirected bool
}

func (e *endpoint) update(i railinstance.Instance) {
	if time.Since(e.noticed) < noticeFor {
		i.WeightsVersion = e.WeightsVersion
	} else {
		e.changesAt = time.Time{}
	}
	if e.WeightsVersion != i.WeightsVersion || e.misdirected && e.RowVersion != i.RowVersion {
		e.avoidUntil, e.strikes, e.misdirected = time.Time{}, 0, false
	}
	e.Instance = i
	e.hash = uint32(railhash.Score(i.ID, i.Address))
}

func (e *endpoint) avoid(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(e.avoidUntil) {
		e.avoidUntil = until
	}
}

// notice takes over what the endpoint's carrier tells.
func (e *endpoint) notice(version int64, changesIn time.Duration, now time.Time) {
	if e.misdirected && e.WeightsVersion != version {
		e.avoidUntil, e.misdirected = time.Time{}, false
	}
	e.WeightsVersion, e.noticed, e.changesAt = version, now, time.Time{}
	if changesIn > 0 {
		e.changesAt = now.Add(changesIn)
	}
}

// settle takes over how a request ended.
func (e *endpoint) settle(outcome Outcome, now time.Time) {
	switch outcome {
	case Failed:
		e.fail(now)
	case Refused:
		e.avoid(now, refusedAvoidance)
	case Misdirected:
		e.misdirected = true
		e.avoid(now, misdirectedAvoidance)
	case Answered:
	}
}

// fail notes a failure that is the endpoint's own.
func (e *endpoint) fail(now time.Time) {
	if now.Before(e.avoidUntil) {
		return // Requests that ran together report the same failure.
	}
	e.avoid(now, min(firstAvoidance<<e.strikes, longestAvoidance))
	e.strikes = min(e.strikes+1, maxStrikes)
}

// learn notes how long an answer took to begin against what was predicted.
func (e *endpoint) learn(predicted, took time.Duration) {
	if predicted <= 0 {
		return
	}
	ratio := min(float64(took)/float64(predicted), slowestPace)
	e.pace += paceWeight * (max(ratio, 1) - e.pace)
}
