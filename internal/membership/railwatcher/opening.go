package railwatcher

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// earlyArrival is the time before an endpoint's opening from which on requests are sent there, to wait for it at the agent. The agent decides
// between the entries.
const earlyArrival = 50 * time.Millisecond

// spacing is what the agent of an endpoint has reported of the requests that the endpoint takes. The zero value is that of an endpoint that has no
// limit.
type spacing struct {
	// interval is the time between two requests, or 0 if there is no limit.
	interval time.Duration
	// opensAt is the time from which on requests may be sent to wait for the next opening, or zero.
	opensAt time.Time
}

// spacingOf returns the spacing that a load report shows.
func spacingOf(load *railproto.Load, now time.Time) spacing {
	s := spacing{interval: time.Duration(load.GetIntervalMillis()) * time.Millisecond}
	if wait := time.Duration(load.GetOpeningMillis())*time.Millisecond - earlyArrival; wait > 0 {
		s.opensAt = now.Add(wait)
	}
	return s
}

// closed reports whether the endpoint takes no request soon.
func (s spacing) closed(now time.Time) bool {
	return now.Before(s.opensAt)
}

// awaits reports whether as many requests await the agent's decision as the endpoint takes until the first of them is decided on.
func (s spacing) awaits(requests int, roundTrip time.Duration) bool {
	return s.interval > 0 && requests > int(roundTrip/s.interval)
}

// takesFrom returns the time from which on the endpoint takes requests, as far as it has asked for none until then.
func (t *target) takesFrom() time.Time {
	if t.pausedUntil.After(t.spacing.opensAt) {
		return t.pausedUntil
	}
	return t.spacing.opensAt
}

// applySpacing records the spacing that a load report shows, and lets waiting requests be sent in time for the next opening. The caller must hold
// mu.
func (w *Watcher) applySpacing(t *target, load *railproto.Load) {
	now := time.Now()
	t.spacing = spacingOf(load, now)
	if !t.spacing.closed(now) {
		return
	}
	wait := t.spacing.opensAt.Sub(now)
	if t.openingTimer == nil {
		t.openingTimer = time.AfterFunc(wait, w.OnUpdate)
		return
	}
	t.openingTimer.Reset(wait)
}
