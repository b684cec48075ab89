package railfleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmarrail/fulmarrail/internal/limit/railquota"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// loanTime is the time since it was asked for in which a loan may be used.
	loanTime = 200 * time.Millisecond
	// loanTimeout is the time after which another entry is asked. An answer that comes later, as from a distant region, still grants a loan.
	loanTimeout = 50 * time.Millisecond
	// maxLoanAsks is the number of entries that are asked in vain one after the other before no other is asked for minLoanBackoff. Until a loan is
	// granted or loanRest has passed without a question, the number halves down to minLoanAsks and the time doubles up to maxLoanBackoff: all
	// shares are in use.
	maxLoanAsks    = 20
	minLoanAsks    = 2
	loanRest       = 4 * time.Second
	minLoanBackoff = 100 * time.Millisecond
	maxLoanBackoff = 2 * time.Second
)

var (
	loansAsked   = metrics.GetOrCreateCounter(`fulmarrail_quota_loans_total{step="asked"}`)
	loansGranted = metrics.GetOrCreateCounter(`fulmarrail_quota_loans_total{step="granted"}`)
	loansLent    = metrics.GetOrCreateCounter(`fulmarrail_quota_loans_total{step="lent"}`)
)

// borrower asks other entries for parts of their shares. It waits for the answer of one of them at a time.
type borrower struct {
	// questions holds those that may still be answered with a loan that can be used, oldest first.
	questions []loanQuestion
	// waiting is set while the latest question is waited for.
	waiting bool
	// asks is the number of entries that were asked in vain one after the other, series the number of times that others were not asked for
	// backoff because of that, and blockedUntil the end of the last such time.
	asks, series int
	backoff      time.Duration
	blockedUntil time.Time
}

// loanQuestion is a question for a loan at an instance.
type loanQuestion struct {
	id       uint64
	instance uint32
	askedAt  time.Time
}

// ask records a question that is sent now.
func (b *borrower) ask(q loanQuestion) {
	b.questions = slices.DeleteFunc(b.questions, func(old loanQuestion) bool { return q.askedAt.Sub(old.askedAt) >= loanTime })
	b.questions, b.waiting = append(b.questions, q), true
}

// take returns the question that an answer belongs to, and removes it. It reports false if there is none, as for an answer that comes again, and
// reports whether it is the one that is waited for.
func (b *borrower) take(loan *railproto.QuotaLoan) (q loanQuestion, awaited, ok bool) {
	i := slices.IndexFunc(b.questions, func(q loanQuestion) bool { return q.id == loan.GetId() && q.instance == loan.GetInstance() })
	if i < 0 {
		return loanQuestion{}, false, false
	}
	q, awaited = b.questions[i], b.waiting && i == len(b.questions)-1
	b.questions = slices.Delete(b.questions, i, i+1)
	return q, awaited, true
}

// latest returns the latest question. There must be one.
func (b *borrower) latest() loanQuestion {
	return b.questions[len(b.questions)-1]
}

// pending reports whether an entry that was asked for a loan at an instance may still answer.
func (b *borrower) pending(instance uint32, now time.Time) bool {
	return b.waiting && b.latest().instance == instance && now.Sub(b.latest().askedAt) < loanTimeout
}

// ready reports whether an entry may be asked now. A question without an answer counts as one that was asked in vain.
func (b *borrower) ready(now time.Time) bool {
	if b.waiting {
		if now.Sub(b.latest().askedAt) < loanTimeout {
			return false
		}
		b.refused(now)
	}
	if now.Sub(b.blockedUntil) > loanRest {
		b.series, b.backoff = 0, 0
	}
	return !now.Before(b.blockedUntil)
}

// refused records that the entry that was asked lends nothing.
func (b *borrower) refused(now time.Time) {
	b.waiting = false
	b.asks++
	if b.asks < max(maxLoanAsks>>b.series, minLoanAsks) {
		return
	}
	b.series++
	b.backoff = min(max(2*b.backoff, minLoanBackoff), maxLoanBackoff)
	b.asks, b.blockedUntil = 0, now.Add(b.backoff)
}

// granted records a loan, also after the wait for it.
func (b *borrower) granted(awaited bool) {
	if awaited {
		b.waiting = false
	}
	b.asks, b.series, b.backoff, b.blockedUntil = 0, 0, 0, time.Time{}
}

// hasLoan reports whether a loan may be used now.
func (s *reportSlot) hasLoan(now time.Time) bool {
	for len(s.loans) > 0 && !now.Before(s.loans[0]) {
		s.loans = s.loans[1:]
	}
	return len(s.loans) > 0
}

// takeLoan uses a loan. It reports whether there was one.
func (s *reportSlot) takeLoan(now time.Time) bool {
	if !s.hasLoan(now) {
		return false
	}
	s.loans = s.loans[1:]
	return true
}

// open reports whether this entry's share allows a request now.
func (s *reportSlot) open(q railquota.Quota, now time.Time) bool {
	return q.Requests > 0 && !s.sends.OpensAt(q, now).After(now)
}

// borrow asks another entry for a part of its share, for a request that no endpoint takes from this entry now.
func (f *Fleet) borrow(req Requirements, now time.Time) {
	if f.Ask == nil || !f.limitNamed || !f.borrower.ready(now) {
		return
	}
	e := f.pickBorrowable(req, now)
	if e == nil {
		return
	}
	perSecond, _ := e.report.Load().Limit(now)
	holders := f.Holders(e.ID, railquota.ForRate(perSecond).Requests)
	if len(holders) == 0 {
		return
	}
	q := loanQuestion{id: rand.Uint64(), instance: e.instanceHash, askedAt: now}
	f.borrower.ask(q)
	loansAsked.Inc()
	f.Ask(holders[rand.IntN(len(holders))], &railproto.QuotaLoan{Instance: q.instance, Id: q.id})
}

// pickBorrowable returns one of the endpoints that would take a request if this entry had a greater share of their limits, or nil.
func (f *Fleet) pickBorrowable(req Requirements, now time.Time) *endpoint {
	var picked *endpoint
	n := 0
	for _, e := range f.endpoints {
		if !e.eligible(req) || req.Tried[e.ID] || now.Before(e.backoffUntil) || e.report.Load().Paused(now) {
			continue
		}
		quota, limited := f.limitQuota(e, now)
		if !limited || e.report.open(quota, now) || e.report.hasLoan(now) {
			continue
		}
		if _, ok := f.predictStart(e, req, now); !ok {
			continue // A loan would not be used.
		}
		n++
		if rand.IntN(n) == 0 {
			picked = e
		}
	}
	return picked
}

// HandleLoan answers another entry that asks for a loan, or applies the answer to this one. It returns the answer, or nil if there is none to
// send.
func (f *Fleet) HandleLoan(loan *railproto.QuotaLoan) *railproto.QuotaLoan {
	if !loan.GetAnswer() {
		return &railproto.QuotaLoan{Instance: loan.GetInstance(), Id: loan.GetId(), Answer: true, Granted: f.lend(loan.GetInstance())}
	}
	if f.applyLoan(loan) {
		f.OnChange()
	}
	return nil
}

// lend gives up one request of this entry's share for the time in which the other one may send it. It reports false if the share has no room.
func (f *Fleet) lend(instance uint32) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, now := f.instances[instance], time.Now()
	if e == nil {
		return false
	}
	quota, limited := f.limitQuota(e, now)
	if !limited {
		f.repeatLimitEnd(e)
		return false
	}
	if !e.report.open(quota, now) {
		return false
	}
	e.report.sends.Record(quota, now, now.Add(loanTime))
	loansLent.Inc()
	return true
}

// repeatLimitEnd lets the next digest tell again that an endpoint's limit has ended, if it has: another entry has missed that.
func (f *Fleet) repeatLimitEnd(e *endpoint) {
	if !e.report.Load().LimitEndedAt().IsZero() {
		f.markLimitChanged(e)
	}
}

// applyLoan applies the answer to a question that this entry has asked. It reports whether that changes what waiting requests may expect.
func (f *Fleet) applyLoan(loan *railproto.QuotaLoan) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, now := &f.borrower, time.Now()
	q, awaited, ok := b.take(loan)
	switch {
	case !ok:
		return false
	case !loan.GetGranted():
		if awaited {
			b.refused(now)
		}
		return awaited
	}
	if e := f.instances[q.instance]; e != nil {
		e.report.loans = append(e.report.loans, q.askedAt.Add(loanTime))
	}
	b.granted(awaited)
	loansGranted.Inc()
	return true
}
