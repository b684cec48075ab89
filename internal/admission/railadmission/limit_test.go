package railadmission_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/admission/railadmission"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// limitWindow is the time within which an endpoint's limit is kept.
const limitWindow = 4 * time.Second

// limitedDemand is a demand above the limit, from several entries.
type limitedDemand struct {
	ctrl    *railadmission.Controller
	entries int

	mu       sync.Mutex
	admitted []time.Time
}

func newLimitedController(c *qt.C) *railadmission.Controller {
	ctrl := newController(c, baseConfig)
	ctrl.Log = slog.New(slog.DiscardHandler)
	return ctrl
}

// run sends requests for the given time. Each entry has one waiting, and sends the next one soon after a rejection.
func (d *limitedDemand) run(ctx context.Context, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var wg sync.WaitGroup
	for range d.entries {
		wg.Go(func() {
			for ctx.Err() == nil {
				d.sendOne(ctx)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

func (d *limitedDemand) sendOne(ctx context.Context) {
	inFlight, reason := d.ctrl.Admit(ctx, &railproto.ExecuteRequest{Incarnation: "i", Service: "chat", TimeoutMillis: 10_000})
	if reason != railproto.Reason_REASON_UNSPECIFIED {
		return
	}
	d.mu.Lock()
	d.admitted = append(d.admitted, time.Now())
	d.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	d.ctrl.Release(inFlight, time.Millisecond, 0, true)
}

// worst returns the largest number of requests that were admitted in any time of the given length.
func (d *limitedDemand) worst(window time.Duration) int {
	worst, first := 0, 0
	for i, at := range d.admitted {
		for at.Sub(d.admitted[first]) >= window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// Guards against more requests than an endpoint in need has said that it takes, from all entries together.
func TestAgentAdmitsNoMoreThanTheEndpointsLimit(t *testing.T) {
	for _, perSecond := range []float64{0, 0.1, 0.5, 1, 1.5, 3.2, 10} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				c := qt.New(t)
				d := &limitedDemand{ctrl: newLimitedController(c), entries: 6}
				d.ctrl.RecordLimit(railendpoint.LimitReport{Incarnation: "engine", SentAt: time.Now(), PerSecond: perSecond, Limited: true})
				const duration = time.Minute
				d.run(t.Context(), duration)
				allowed := int(perSecond * limitWindow.Seconds())
				if perSecond > 0 && perSecond < 1 {
					allowed++ // Less than one a second is kept in longer times.
				}
				c.Check(d.worst(limitWindow) <= allowed, qt.IsTrue, qt.Commentf("%d of %d in a window", d.worst(limitWindow), allowed))
				expected := perSecond * duration.Seconds()
				c.Check(float64(len(d.admitted)) >= 0.85*expected-1, qt.IsTrue, qt.Commentf("%d of %v admitted", len(d.admitted), expected))
				c.Check(float64(len(d.admitted)) <= expected+1, qt.IsTrue, qt.Commentf("%d of %v admitted", len(d.admitted), expected))
			})
		})
	}
}

// Guards against a limit that holds longer or shorter than the endpoint says so.
func TestLimitHoldsAsLongAsTheEndpointSaysSo(t *testing.T) {
	for name, test := range map[string]struct {
		then func(ctrl *railadmission.Controller)
		// limited reports whether the limit of one in 20 s still holds.
		limited bool
	}{
		"no response since": {func(*railadmission.Controller) {}, true},
		"a response without a limit": {func(ctrl *railadmission.Controller) {
			ctrl.RecordLimit(railendpoint.LimitReport{SentAt: time.Now()})
		}, false},
		"a response to an older request": {func(ctrl *railadmission.Controller) {
			ctrl.RecordLimit(railendpoint.LimitReport{SentAt: time.Now().Add(-2 * time.Second)})
		}, true},
		"a control response of an endpoint that names it in others only": {func(ctrl *railadmission.Controller) {
			ctrl.RecordLimit(railendpoint.LimitReport{SentAt: time.Now(), Control: true, Incarnation: "engine"})
		}, true},
		"a control response of an endpoint that has named it there": {func(ctrl *railadmission.Controller) {
			ctrl.RecordLimit(railendpoint.LimitReport{SentAt: time.Now(), Control: true, PerSecond: 0.05, Limited: true})
			time.Sleep(time.Millisecond)
			ctrl.RecordLimit(railendpoint.LimitReport{SentAt: time.Now(), Control: true})
		}, false},
		"a higher limit": {func(ctrl *railadmission.Controller) {
			ctrl.RecordLimit(railendpoint.LimitReport{SentAt: time.Now(), PerSecond: 100, Limited: true})
		}, false},
		"the engine restarts":           {func(ctrl *railadmission.Controller) { ctrl.SetWeights("digest", "engine-2") }, false},
		"the engine can't be asked":     {func(ctrl *railadmission.Controller) { ctrl.SetWeights("", ""); ctrl.SetWeights("digest", "engine") }, true},
		"silence for eleven minutes":    {func(*railadmission.Controller) { time.Sleep(11 * time.Minute) }, false},
		"the restarted engine names it": {func(ctrl *railadmission.Controller) { restartLimited(ctrl) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				ctrl := newLimitedController(qt.New(t))
				ctrl.RecordLimit(railendpoint.LimitReport{SentAt: time.Now(), PerSecond: 0.05, Limited: true})
				time.Sleep(time.Second)
				test.then(ctrl)
				time.Sleep(time.Second)
				qt.Check(t, ctrl.Load().GetOpeningMillis() > 0, qt.Equals, test.limited)
				_, reason := ctrl.TryAdmit(&railproto.ExecuteRequest{Incarnation: "i", Service: "chat"})
				qt.Check(t, reason == railproto.Reason_REASON_LIMIT, qt.Equals, test.limited)
			})
		})
	}
}

func restartLimited(ctrl *railadmission.Controller) {
	ctrl.SetWeights("digest", "engine-2")
	ctrl.RecordLimit(railendpoint.LimitReport{Incarnation: "engine-2", SentAt: time.Now(), PerSecond: 0.05, Limited: true})
}

// Guards against requests that wait at the agent though it knows that the endpoint takes none in time.
func TestRequestThatFindsNoOpeningInTimeIsRejectedAtOnce(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		ctrl := newLimitedController(qt.New(t))
		ctrl.RecordLimit(railendpoint.LimitReport{SentAt: time.Now(), PerSecond: 0.5, Limited: true})
		start := time.Now()
		_, reason := ctrl.Admit(t.Context(), &railproto.ExecuteRequest{Incarnation: "i", Service: "chat", TimeoutMillis: 10_000})
		qt.Check(t, reason, qt.Equals, railproto.Reason_REASON_LIMIT)
		qt.Check(t, time.Since(start), qt.Equals, time.Duration(0))
		qt.Check(t, ctrl.Load().GetOpeningMillis(), qt.Equals, int64(2000))
		time.Sleep(1950 * time.Millisecond)
		_, reason = ctrl.Admit(t.Context(), &railproto.ExecuteRequest{Incarnation: "i", Service: "chat", TimeoutMillis: 10_000})
		qt.Check(t, reason, qt.Equals, railproto.Reason_REASON_UNSPECIFIED)
		qt.Check(t, time.Since(start), qt.Equals, 2*time.Second)
	})
}

// Guards against streams that are resumed beside the requests that the endpoint takes.
func TestResumedStreamTakesAnOpening(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		ctrl := newLimitedController(qt.New(t))
		ctrl.RecordLimit(railendpoint.LimitReport{SentAt: time.Now(), PerSecond: 0.5, Limited: true})
		ctrl.RecordResume()
		qt.Check(t, ctrl.Load().GetOpeningMillis(), qt.Equals, int64(4000))
	})
}

// Guards against an endpoint that gets nothing for a day because streams were resumed while it took next to nothing, though it takes many requests again.
func TestResumedStreamsPutOffNothingOnceTheLimitRises(t *testing.T) {
	report := func(ctrl *railadmission.Controller, perSecond float64) {
		ctrl.RecordLimit(railendpoint.LimitReport{Incarnation: "engine", SentAt: time.Now(), PerSecond: perSecond, Limited: true})
	}
	for name, change := range map[string]func(ctrl *railadmission.Controller){
		"a higher limit": func(ctrl *railadmission.Controller) { report(ctrl, 100) },
		"no limit, then another one": func(ctrl *railadmission.Controller) {
			ctrl.RecordLimit(railendpoint.LimitReport{Incarnation: "engine", SentAt: time.Now()})
			time.Sleep(time.Millisecond)
			report(ctrl, 100)
		},
		"another engine": func(ctrl *railadmission.Controller) {
			ctrl.SetWeights("digest", "engine-2")
			ctrl.RecordLimit(railendpoint.LimitReport{Incarnation: "engine-2", SentAt: time.Now(), PerSecond: 100, Limited: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				ctrl := newLimitedController(qt.New(t))
				report(ctrl, 0)
				ctrl.RecordResume()
				time.Sleep(time.Second)
				change(ctrl)
				time.Sleep(100 * time.Millisecond)
				_, reason := ctrl.TryAdmit(&railproto.ExecuteRequest{Incarnation: "i", Service: "chat"})
				qt.Check(t, reason, qt.Equals, railproto.Reason_REASON_UNSPECIFIED)
			})
		})
	}
}
