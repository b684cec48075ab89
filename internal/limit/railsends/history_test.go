package railsends_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/limit/railquota"
	"github.com/fulmarrail/fulmarrail/internal/limit/railsends"
)

func TestNoWindowHoldsMoreThanTheQuota(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 0))
	for _, rate := range []float64{0, 0.5, 1.5, 3.2, 20} {
		var h railsends.History
		var sends []time.Time
		q := railquota.ForRate(rate)
		now := time.Now()
		for range 5000 {
			now = now.Add(time.Duration(r.Int64N(int64(100 * time.Millisecond))))
			if h.OpensAt(q, now).Equal(now) {
				h.Record(q, now, now)
				sends = append(sends, now)
			}
		}
		for i := q.Requests; i < len(sends); i++ {
			qt.Assert(t, sends[i].Sub(sends[i-q.Requests]) >= q.Window, qt.IsTrue, qt.Commentf("rate %v", rate))
		}
		qt.Check(t, len(sends) > 10, qt.IsTrue)
	}
}

func TestQuotaIsNotSentInOneBurst(t *testing.T) {
	q := railquota.Quota{Requests: 10, Window: 4 * time.Second}
	var h railsends.History
	now := time.Now()
	h.Record(q, now, now)
	qt.Check(t, h.OpensAt(q, now), qt.Equals, now.Add(200*time.Millisecond))
}

func TestRequestsThatAQuotaAllowsUntilATimeAreCounted(t *testing.T) {
	q := railquota.Quota{Requests: 2, Window: 4 * time.Second}
	var h railsends.History
	now := time.Now()
	qt.Check(t, h.CountBy(q, now, now, 0, 9), qt.Equals, 1)
	qt.Check(t, h.CountBy(q, now, now.Add(time.Second), 0, 9), qt.Equals, 2)
	h.Record(q, now, now)
	qt.Check(t, h.CountBy(q, now, now.Add(999*time.Millisecond), 0, 9), qt.Equals, 0)
	qt.Check(t, h.CountBy(q, now, now.Add(4*time.Second), 0, 9), qt.Equals, 2)
	qt.Check(t, h.CountBy(q, now, now.Add(time.Hour), 0, 9), qt.Equals, 9)
	qt.Check(t, h.CountBy(railquota.Quota{Window: time.Second}, now, now.Add(time.Hour), 0, 9), qt.Equals, 0)
	qt.Check(t, h.CountBy(q, now, now.Add(4*time.Second), time.Millisecond, 9), qt.Equals, 1, qt.Commentf("the second is late"))
	qt.Check(t, h.Count(q, now.Add(time.Second)), qt.Equals, 1)
	qt.Check(t, h.Count(q, now.Add(4*time.Second)), qt.Equals, 0)
}

// Guards against a quota that is sent in the first half of each window, and by many senders at the same time.
func TestFilledQuotaIsSentEvenly(t *testing.T) {
	q := railquota.Quota{Requests: 4, Window: 4 * time.Second}
	var h railsends.History
	start := time.Now()
	h.Fill(q, start, 0.75)
	for n := range 12 {
		at := start.Add(250*time.Millisecond + time.Duration(n)*time.Second)
		qt.Assert(t, h.OpensAt(q, start), qt.Equals, at)
		h.Record(q, at, at)
	}
	h.Fill(railquota.Quota{Requests: 1 << 20, Window: time.Second}, start, 0)
	qt.Check(t, h.OpensAt(q, start), qt.Equals, start, qt.Commentf("a quota that hardly binds"))
}
