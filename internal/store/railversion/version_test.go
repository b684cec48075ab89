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
