package railbudget_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/retry/railbudget"
)

// Guards against retries that are lost from the budget, since no endpoint could be granted for them.
func TestReturnedRetryMayBeWithdrawnAgain(t *testing.T) {
	var b railbudget.Budget
	withdrawn := 0
	for b.TryWithdraw() {
		withdrawn++
	}
	b.Return()
	qt.Check(t, b.TryWithdraw(), qt.IsTrue, qt.Commentf("after %d retries", withdrawn))
	qt.Check(t, b.TryWithdraw(), qt.IsFalse)
}
