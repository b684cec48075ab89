package railsite_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railsite"
)

const validSettings = `[process]
name = entry-1
zone = a
region = r
inner = 10.0.0.1:7700
store = 10.0.0.9:80
sharedKey = not-a-secret
[bounds]
drain = 1500ms
[zones]
a = r
b = s
`

func TestParseReadsSettings(t *testing.T) {
	s, err := railsite.Parse("settings.ini", []byte(validSettings))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Bounds.DrainDelay, qt.Equals, 1500*time.Millisecond)
	qt.Check(t, s.ZoneRegions, qt.DeepEquals, map[string]string{"a": "r", "b": "s"})
}

func TestParseErrorsNameFileLineAndKey(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"unknown section":  {validSettings + "[odd]\nx = 1\n", `settings.ini:13.*unknown section.*`},
		"unknown key":      {strings.Replace(validSettings, "drain", "drian", 1), `(?s).*settings.ini:9.*drian.*`},
		"no address":       {"[process]\nname = n\nzone = a\nregion = r\ninner = here\nstore = 10.0.0.9:80\nsharedKey = k\n[zones]\na = r\n", `(?s).*settings.ini:5.*inner.*"here" is not an IP address with a port.*`},
		"short revocation": {strings.Replace(validSettings, "drain = 1500ms", "revocation = 50ms", 1), `(?s).*settings.ini:9.*revocation: 50ms is too short.*200ms or more.*`},
		"unlisted zone":    {"[process]\nname = n\nzone = c\nregion = r\ninner = 10.0.0.1:1\nstore = 10.0.0.9:80\nsharedKey = k\n[zones]\na = r\n", `(?s).*settings.ini:3.*zone.*does not list "c".*`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := railsite.Parse("settings.ini", []byte(c.text))
			qt.Check(t, err, qt.ErrorMatches, c.want)
		})
	}
}
