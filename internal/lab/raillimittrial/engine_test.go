package raillimittrial

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
)

// newEngine returns an endpoint that names a limit of one request per second from now on, and told a gateway of it.
func newEngine(gateway int) *engine {
	e := &engine{limit: 1, namesAt: time.Now(), notifiedAt: map[int]time.Time{}}
	e.answer(gateway)
	return e
}

func TestMostArrivalsCountsWindowsThatEndOnceTheLimitMustHold(t *testing.T) {
	for name, c := range map[string]struct {
		// at holds the times of arrivals after the endpoint has named its limit.
		at            []time.Duration
		all, notified int
	}{
		"all before the limit must hold":           {[]time.Duration{1 * time.Second, 2 * time.Second}, 0, 0},
		"a window that begins before":              {[]time.Duration{1 * time.Second, 2 * time.Second, 3 * time.Second}, 3, 3},
		"a gateway that has just been told":        {[]time.Duration{100 * time.Millisecond, 3 * time.Second}, 2, 1},
		"an arrival 4 s before is in no window":    {[]time.Duration{1 * time.Second, 5 * time.Second}, 1, 1},
		"the fullest window is not the last":       {[]time.Duration{4 * time.Second, 4 * time.Second, 9 * time.Second}, 2, 2},
		"an arrival just under 4 s before belongs": {[]time.Duration{1*time.Second + 1, 5 * time.Second}, 2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				e, start := newEngine(0), time.Now()
				for _, at := range c.at {
					time.Sleep(time.Until(start.Add(at)))
					e.receive(0)
				}
				all, notified := e.mostArrivals()
				qt.Check(t, all, qt.Equals, c.all)
				qt.Check(t, notified, qt.Equals, c.notified)
			})
		})
	}
}

func TestRequestsOfGatewaysThatDoNotKnowTheLimitDoNotCount(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		e := newEngine(0)
		time.Sleep(settleTime)
		e.receive(0)
		e.receive(1)
		e.excuse(0)
		e.receive(0)
		all, notified := e.mostArrivals()
		qt.Check(t, all, qt.Equals, 3)
		qt.Check(t, notified, qt.Equals, 1)
	})
}

func TestToleratedIsOneAndAHalfTimesTheLimitAndFive(t *testing.T) {
	for limit, tolerated := range map[float64]int{0.5: 8, 1: 11, 1.5: 14, 3.2: 24} {
		qt.Check(t, (&engine{limit: limit}).tolerated(), qt.Equals, tolerated, qt.Commentf("limit %v", limit))
	}
}
