package railrequestrate_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/request/railrequestrate"
)

func TestLeastValidRateHolds(t *testing.T) {
	for name, c := range map[string]struct {
		lines     []string
		perSecond float64
		ok        bool
		malformed int
	}{
		"no line":                  {nil, 0, false, 0},
		"a fraction":               {[]string{"3.2"}, 3.2, true, 0},
		"zero":                     {[]string{"0"}, 0, true, 0},
		"two lines":                {[]string{"3", "1.5"}, 1.5, true, 0},
		"two values in one line":   {[]string{"1.5, 3"}, 1.5, true, 0},
		"one of two values":        {[]string{"-1", "2"}, 2, true, 1},
		"no number":                {[]string{"many"}, 0, false, 1},
		"empty":                    {[]string{""}, 0, false, 1},
		"an empty value at an end": {[]string{"2,"}, 2, true, 1},
		"negative zero":            {[]string{"-0"}, 0, false, 1},
		"infinite":                 {[]string{"Inf"}, 0, false, 1},
		"too large":                {[]string{"1e999"}, 0, false, 1},
		"hexadecimal":              {[]string{"0x3"}, 0, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var lines [][]byte
			for _, line := range c.lines {
				lines = append(lines, []byte(line))
			}
			perSecond, ok, malformed := railrequestrate.Parse(lines)
			qt.Check(t, perSecond, qt.Equals, c.perSecond)
			qt.Check(t, ok, qt.Equals, c.ok)
			qt.Check(t, malformed, qt.HasLen, c.malformed)
		})
	}
}
