package railfleet_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Guards against loans at endpoints that get no request from this entry for another reason, such as their limit while cold: a place that another entry
// gives up for that is lost.
func TestNoLoanIsAskedForThatCanNotBeUsed(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		p := newLoanPair(t)
		p.req.Backend.ColdPerSecond = 1 // This entry has no share of it either.
		qt.Check(t, p.reserve(p.borrower), qt.IsFalse)
		qt.Check(t, p.asked, qt.HasLen, 0)
	})
}

// Guards against loans at an endpoint whose load leaves no room for the request.
func TestNoLoanIsAskedForAtAFullEndpoint(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		asked := 0
		f, req := newFleet(1, engine("1"))
		f.Share = func(string, int) int { return 0 }
		f.Holders = func(string, int) []string { return []string{"lender"} }
		f.Ask = func(string, *railproto.QuotaLoan) { asked++ }
		req.Backend.ColdPerSecond = 0
		f.SetInstances([]railinstance.Instance{fullEngine()})
		var leases []*railfleet.Lease
		for {
			l, ok := f.Reserve(req)
			if !ok {
				break
			}
			leases = append(leases, l)
		}
		leases[0].RecordLimit(1)
		_, ok := f.Reserve(req)
		qt.Check(t, ok, qt.IsFalse)
		qt.Check(t, asked, qt.Equals, 0)
		leases[0].Done(railfleet.Answered)
		_, ok = f.Reserve(req)
		qt.Check(t, ok, qt.IsFalse)
		qt.Check(t, asked, qt.Equals, 1)
	})
}

func fullEngine() railinstance.Instance {
	i := engine("1")
	i.Slots = 2
	return i
}
