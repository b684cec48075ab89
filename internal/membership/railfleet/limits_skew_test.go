package railfleet_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
)

// The pattern of many gateways before many engines with limits, with a demand below these limits. Guards against requests that are rejected while the
// shares of other gateways are not in use.
func TestDemandBelowLimitsIsServedByLoans(t *testing.T) {
	var limits []float64
	for range 10 {
		limits = append(limits, 1, 1.5, 3.2)
	}
	for _, gateways := range []int{6, 18, 60} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			served, asked := 0, 0
			for range 5 { // Choices of gateways and endpoints are random.
				railvirtualtime.Test(t, func(t *testing.T) {
					load := newLimitedLoad(gateways, limits)
					load.lends, load.skewed = true, true
					load.run(t, 40)
					load.checkLimits(t)
					served, asked = served+load.steadyServed, asked+load.steadyAsked
				})
			}
			qt.Check(t, float64(served) >= 0.985*float64(asked), qt.IsTrue, qt.Commentf("%d of %d served", served, asked))
		})
	}
}
