package railspacer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/limit/railspacer"
)

// Guards against an opening that stays as far off as at a tiny rate after the rate has risen.
func TestOpeningsThatAreTakenComeSoonerOnceTheRateRises(t *testing.T) {
	start := time.Now()
	for name, c := range map[string]struct {
		from, to float64
		sends    int
		opening  time.Duration
	}{
		"from zero":         {0, 4, 3, 750 * time.Millisecond},
		"from a low rate":   {0.1, 1, 2, 2 * time.Second},
		"to the same":       {1, 1, 3, 3 * time.Second},
		"to a lower rate":   {1, 0.5, 2, 3 * time.Second},
		"nothing was taken": {0, 4, 1, 250 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := &railspacer.Spacer{}
			for range c.sends {
				s.RecordSent(start, c.from)
			}
			s.ChangeRate(start, c.from, c.to)
			qt.Check(t, s.Opening(c.to).Sub(start), qt.Equals, c.opening)
		})
	}
}
