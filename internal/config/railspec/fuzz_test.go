package railspec_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railini"
	"github.com/fulmarrail/fulmarrail/internal/config/railspec"
)

func FuzzMergedFiles(f *testing.F) {
	f.Add("[service chat]\nkind = engine\nversion = v1\n", "[service chat]\nversion = v2\n")
	f.Add("[zone a]\nregion = a\n", "[zone a]\nstate = out\n[zone a]\n")
	f.Add("key = before\n", "[]\n")
	f.Add("[customer x]\nweight = \"1\"\n", "[customer x]\nweight = `2`\n; comment\n")
	f.Fuzz(func(t *testing.T, first, second string) {
		a, err := railini.Parse("a.ini", []byte(first))
		if err != nil {
			return
		}
		b, err := railini.Parse("b.ini", []byte(second))
		if err != nil {
			return
		}
		merged := a.WithOverlay(b)
		for _, section := range b.Sections() {
			for _, key := range b.Keys(section) {
				want, _ := b.Value(section, key)
				got, _ := merged.Value(section, key)
				qt.Check(t, got, qt.Equals, want)
			}
		}
		// New returns a valid spec or an error that is not empty, and never panics.
		if _, err := railspec.New(merged); err != nil {
			qt.Check(t, err.Error(), qt.Not(qt.Equals), "")
		}
	})
}
