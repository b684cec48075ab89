package railspacer_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/limit/railspacer"
)

// The pattern of a demand far above the rate: each opening is taken at once.
func TestNoWindowHasMoreRequestsThanItsRateAllows(t *testing.T) {
	for _, perSecond := range []float64{0.05, 0.24, 0.25, 0.5, 0.7, 1, 1.5, 3.2, 7.9, 40, 1e4} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			window := railspacer.Window
			if perSecond < 1 {
				window = time.Duration(4 / perSecond * float64(time.Second))
			}
			allowed := int(math.Floor(perSecond*window.Seconds() + 1e-6))
			s := &railspacer.Spacer{}
			now := time.Now()
			var sent []time.Time
			for range 3*allowed + 3 {
				if opening := s.Opening(perSecond); opening.After(now) {
					now = opening
				}
				s.RecordSent(now, perSecond)
				sent = append(sent, now)
				if len(sent) > allowed {
					qt.Assert(t, now.Sub(sent[len(sent)-1-allowed]) >= window-time.Microsecond, qt.IsTrue, qt.Commentf("%d requests", allowed+1))
				}
			}
			spread := float64(len(sent)-1) / sent[len(sent)-1].Sub(sent[0]).Seconds()
			qt.Check(t, spread >= 0.8*perSecond, qt.IsTrue, qt.Commentf("%v requests per second", spread))
		})
	}
}

func TestIntervalOfUnusualRates(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond float64
		interval  time.Duration
	}{
		"zero":               {0, 24 * time.Hour},
		"almost zero":        {1e-300, 24 * time.Hour},
		"one in twenty":      {0.05, 20 * time.Second},
		"one in a second":    {1, time.Second},
		"far above any load": {1e300, time.Nanosecond},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, railspacer.Interval(c.perSecond), qt.Equals, c.interval)
		})
	}
}

func TestRequestThatCouldNotWaitTakesTheNextOpening(t *testing.T) {
	start := time.Now()
	s := &railspacer.Spacer{}
	s.RecordSent(start, 1)
	s.RecordSent(start.Add(100*time.Millisecond), 1)
	qt.Check(t, s.Opening(1), qt.Equals, start.Add(2*time.Second))
	qt.Check(t, s.Opening(4), qt.Equals, start.Add(1250*time.Millisecond)) // The rate has risen since.
}
