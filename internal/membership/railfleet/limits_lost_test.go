package railfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Guards against an entry without a share that has missed the digests about a limit's end, so that it keeps to the limit for minutes and refuses requests
// although the endpoint takes any number of them.
func TestEntryThatMissedTheEndOfALimitLearnsOfItFromALender(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		p := newLoanPair(t)
		endLimit(t, p.lender, p.req)
		p.lender.ChangedLimits() // Lost.
		time.Sleep(11 * time.Second)
		qt.Check(t, p.lender.AllLimits(), qt.HasLen, 0, qt.Commentf("the end is repeated no more"))
		qt.Check(t, p.reserve(p.borrower), qt.IsFalse)
		qt.Assert(t, p.asked, qt.HasLen, 1)
		qt.Check(t, p.lender.HandleLoan(p.asked[0]).GetGranted(), qt.IsFalse)
		p.borrower.MergeDigest(&railproto.LoadDigest{Entry: "lender", Limits: p.lender.ChangedLimits()})
		qt.Check(t, p.reserve(p.borrower), qt.IsTrue)
	})
}

// endLimit lets an endpoint name no limit in a response.
func endLimit(t *testing.T, f *railfleet.Fleet, req railfleet.Requirements) {
	t.Helper()
	l, ok := f.Reserve(req)
	qt.Assert(t, ok, qt.IsTrue)
	l.RecordNoLimit()
	l.Done(railfleet.Answered)
}
