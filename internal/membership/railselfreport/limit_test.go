package railselfreport_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railselfreport"
)

// Guards against a limit that ends, or rises, by a response that was sent before the one that named it and arrives after it.
func TestLimitHoldsUntilALaterRequestIsAnsweredWithoutIt(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	none := railselfreport.New(railinstance.Instance{ID: "1"})
	named := none.WithLimit(at(0), at(1), 3)
	for name, c := range map[string]struct {
		report  *railselfreport.SelfReport
		now     time.Time
		limit   float64
		limited bool
	}{
		"never named":                             {none, at(1), 0, false},
		"answers without one":                     {none.WithLimitEnd(at(1)), at(2), 0, false},
		"named":                                   {named, at(1), 3, true},
		"zero":                                    {none.WithLimit(at(0), at(1), 0), at(1), 0, true},
		"silence for a minute":                    {named, at(60), 3, true},
		"silence for long":                        {named, at(3600), 0, false},
		"an older request's answer without it":    {named.WithLimitEnd(at(0.5)), at(2), 3, true},
		"a later request's answer without it":     {named.WithLimitEnd(at(1.5)), at(2), 0, false},
		"named again after its end":               {named.WithLimitEnd(at(1.5)).WithLimit(at(2), at(3), 4), at(3), 4, true},
		"ended, then an older end":                {named.WithLimitEnd(at(1.5)).WithLimitEnd(at(0.5)), at(2), 0, false},
		"raised":                                  {named.WithLimit(at(1.5), at(2), 5), at(2), 5, true},
		"raised by an older request's answer":     {named.WithLimit(at(0.5), at(2), 5), at(2), 3, true},
		"lowered by an older request's answer":    {named.WithLimit(at(0.5), at(2), 1), at(2), 1, true},
		"an older naming that another VM reports": {named.WithLimit(at(0.5), at(0.5), 9), at(2), 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			limit, limited := c.report.Limit(c.now)
			qt.Check(t, limit, qt.Equals, c.limit)
			qt.Check(t, limited, qt.Equals, c.limited)
		})
	}
}
