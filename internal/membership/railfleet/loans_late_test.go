package railfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
)

// Guards against places that are lent to a gateway of a distant region and lost there, since their answers come after another entry has been asked.
func TestLoanFromADistantEntryIsUsed(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		p := newLoanPair(t)
		p.reserve(p.borrower)
		qt.Assert(t, p.asked, qt.HasLen, 1)
		answer := p.lender.HandleLoan(p.asked[0])
		qt.Assert(t, answer.GetGranted(), qt.IsTrue)
		for range 12 {
			time.Sleep(10 * time.Millisecond)
			qt.Check(t, p.reserve(p.borrower), qt.IsFalse)
		}
		qt.Check(t, len(p.asked) > 1, qt.IsTrue, qt.Commentf("others are asked meanwhile"))
		p.borrower.HandleLoan(answer)
		qt.Check(t, p.reserve(p.borrower), qt.IsTrue)
		p.borrower.HandleLoan(answer)
		qt.Check(t, p.reserve(p.borrower), qt.IsFalse, qt.Commentf("the answer has come again"))
	})
}
