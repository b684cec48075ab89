package railquota_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/limit/railquota"
)

func TestQuotaAllowsTheRateAndNoMoreInFourSeconds(t *testing.T) {
	for _, rate := range []float64{0.1, 0.11, 0.2, 0.25, 0.3, 0.5, 0.75, 1, 1.1, 1.5, 3.2, 20, 333.3} {
		q := railquota.ForRate(rate)
		got := float64(q.Requests) / q.Window.Seconds()
		qt.Check(t, math.Abs(got-rate) < 1e-6, qt.IsTrue, qt.Commentf("rate %v: %+v", rate, q))
		qt.Check(t, q.Window >= 4*time.Second && q.Window <= 10*time.Second, qt.IsTrue, qt.Commentf("rate %v: %+v", rate, q))
		qt.Check(t, float64(q.Requests) <= max(1, 4*rate+1), qt.IsTrue, qt.Commentf("rate %v: %+v", rate, q))
	}
}

func TestQuotaOfExtremeRates(t *testing.T) {
	for _, rate := range []float64{0, 1e-300, 0.09} {
		qt.Check(t, railquota.ForRate(rate), qt.Equals, railquota.Quota{Requests: 1, Window: 10 * time.Second})
	}
	for _, rate := range []float64{1e6, 1e18, math.MaxFloat64} {
		qt.Check(t, railquota.ForRate(rate), qt.Equals, railquota.Quota{Requests: 1 << 20, Window: 4 * time.Second})
	}
}
