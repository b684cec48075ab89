package railversion_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

// Guards against taking a state from after a restore for an older one, since the store's numbers have gone back.
func TestLaterEraHasHigherVersion(t *testing.T) {
	before, after := railversion.New(3, 1<<39), railversion.New(4, 1)
	qt.Check(t, after > before, qt.IsTrue)
	qt.Check(t, railversion.Era(after), qt.Equals, int64(4))
	qt.Check(t, railversion.Number(after), qt.Equals, int64(1))
	qt.Check(t, railversion.New(0, 77), qt.Equals, int64(77))
}

// Guards against log lines whose versions can't be compared with the store's own numbers.
func TestLoggedVersionShowsEraAndNumber(t *testing.T) {
	for want, version := range map[string]int64{
		"27":   railversion.New(0, 27),
		"2:27": railversion.New(2, 27),
		"0":    0,
	} {
		qt.Check(t, railversion.String(version), qt.Equals, want)
	}
}
