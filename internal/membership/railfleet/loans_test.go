package railfleet_test

import (
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// loanTime is the time for which a loan may be used.
const loanTime = 200 * time.Millisecond

// lentLimit is the limit in requests per second of which a pair of entries lends a part.
const lentLimit = 0.25

// loanPair is an entry without a share of an endpoint's limit, and one that has it.
type loanPair struct {
	borrower, lender *railfleet.Fleet
	req              railfleet.Requirements
	// asked holds the questions of the borrower.
	asked []*railproto.QuotaLoan
}

func newLoanPair(t *testing.T) *loanPair {
	t.Helper()
	p := &loanPair{req: railfleet.Requirements{
		Backend: railbackend.Backend{Name: "orders"}, RegionAllowed: func(string) bool { return true }, ZoneOut: func(string) bool { return false },
	}}
	newFleet := func(share func(string, int) int) *railfleet.Fleet {
		f := &railfleet.Fleet{Share: share, Holders: func(string, int) []string { return []string{"lender"} }, OnChange: func() {}, Log: slog.New(slog.DiscardHandler)}
		f.SetInstances([]railinstance.Instance{{ID: "1", Service: "orders", Address: "1", Slots: 16}})
		return f
	}
	p.borrower = newFleet(func(string, int) int { return 0 })
	p.lender = newFleet(func(_ string, total int) int { return total })
	p.borrower.Ask = func(_ string, loan *railproto.QuotaLoan) { p.asked = append(p.asked, loan) }
	l, ok := p.borrower.Reserve(p.req)
	qt.Assert(t, ok, qt.IsTrue)
	l.RecordLimit(lentLimit)
	l.Done(railfleet.Answered)
	p.lender.MergeDigest(&railproto.LoadDigest{Limits: p.borrower.ChangedLimits()})
	time.Sleep(4 * time.Second) // The lender's share counts as used when the limit begins.
	return p
}

// reserve reports whether a fleet may send a request.
func (p *loanPair) reserve(f *railfleet.Fleet) bool {
	l, ok := f.Reserve(p.req)
	if ok {
		l.Done(railfleet.Answered)
	}
	return ok
}

func TestLoanAllowsOneRequestForItsTime(t *testing.T) {
	for name, c := range map[string]struct {
		wait    time.Duration
		change  func(answer *railproto.QuotaLoan)
		allowed bool
	}{
		"at once":                       {0, func(*railproto.QuotaLoan) {}, true},
		"just in time":                  {loanTime - 1, func(*railproto.QuotaLoan) {}, true},
		"an answer that took too long":  {loanTime, func(*railproto.QuotaLoan) {}, false},
		"a refusal":                     {0, func(answer *railproto.QuotaLoan) { answer.Granted = false }, false},
		"an answer to another question": {0, func(answer *railproto.QuotaLoan) { answer.Id++ }, false},
		"another endpoint":              {0, func(answer *railproto.QuotaLoan) { answer.Instance++ }, false},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				p := newLoanPair(t)
				qt.Check(t, p.reserve(p.borrower), qt.IsFalse)
				qt.Assert(t, p.asked, qt.HasLen, 1)
				answer := p.lender.HandleLoan(p.asked[0])
				qt.Assert(t, answer.GetGranted(), qt.IsTrue)
				qt.Check(t, p.lender.HandleLoan(p.asked[0]).GetGranted(), qt.IsFalse, qt.Commentf("its share is used"))
				c.change(answer)
				time.Sleep(c.wait)
				qt.Check(t, p.borrower.HandleLoan(answer), qt.IsNil)
				qt.Check(t, p.reserve(p.borrower), qt.Equals, c.allowed)
				qt.Check(t, p.reserve(p.borrower), qt.IsFalse)
			})
		})
	}
}

// Guards against a lender that sends a request itself before the window after the latest time of the loan's use.
func TestLenderGoesWithoutWhatItLends(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		p := newLoanPair(t)
		p.reserve(p.borrower)
		qt.Assert(t, p.lender.HandleLoan(p.asked[0]).GetGranted(), qt.IsTrue)
		time.Sleep(loanTime + 4*time.Second - 1)
		qt.Check(t, p.reserve(p.lender), qt.IsFalse)
		time.Sleep(time.Nanosecond)
		qt.Check(t, p.reserve(p.lender), qt.IsTrue)
	})
}

// Guards against floods of questions while all shares are in use.
func TestFewQuestionsWhileNobodyLends(t *testing.T) {
	for name, answers := range map[string]bool{"refusals": true, "no answers": false} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				p := newLoanPair(t)
				for range 10_000 {
					answered := len(p.asked)
					p.reserve(p.borrower)
					if answers && len(p.asked) > answered {
						p.borrower.HandleLoan(&railproto.QuotaLoan{Instance: p.asked[answered].Instance, Id: p.asked[answered].Id, Answer: true})
					}
					time.Sleep(time.Millisecond)
				}
				qt.Check(t, len(p.asked) >= 10 && len(p.asked) <= 50, qt.IsTrue, qt.Commentf("%d questions in 10 s", len(p.asked)))
			})
		})
	}
}
