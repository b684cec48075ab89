package railroute_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railroute"
)

// Guards against requests that go to a service without a share of the route.
func TestPickServiceNeverPicksOneWithoutWeight(t *testing.T) {
	for name, test := range map[string]struct {
		services []railroute.WeightedService
		want     map[float64]string
	}{
		"none":           {nil, map[float64]string{0: "", 0.99: ""}},
		"one":            {[]railroute.WeightedService{{Service: "a", Weight: 1}}, map[float64]string{0: "a", 0.99: "a"}},
		"two":            {[]railroute.WeightedService{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}, map[float64]string{0: "a", 0.74: "a", 0.75: "b", 0.99: "b"}},
		"first without":  {[]railroute.WeightedService{{Service: "a"}, {Service: "b", Weight: 1}}, map[float64]string{0: "b", 0.99: "b"}},
		"last without":   {[]railroute.WeightedService{{Service: "a", Weight: 1}, {Service: "b"}}, map[float64]string{0: "a", 0.99: "a"}},
		"all without":    {[]railroute.WeightedService{{Service: "a"}, {Service: "b"}}, map[float64]string{0: "", 0.99: ""}},
		"last below all": {[]railroute.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: -1}}, map[float64]string{0: "a", 0.99: "a"}},
	} {
		t.Run(name, func(t *testing.T) {
			for point, want := range test.want {
				qt.Check(t, railroute.Route{Services: test.services}.PickService(point), qt.Equals, want, qt.Commentf("at %g", point))
			}
		})
	}
}
