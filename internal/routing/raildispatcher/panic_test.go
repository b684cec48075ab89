package raildispatcher_test

import (
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/routing/railcandidate"
)

// Guards against a panic in the choice of an endpoint that leaves the queue locked, or that reaches whoever frees capacity for a waiting request.
func TestPanicInChoiceEndsOnlyItsRequest(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		e := &endpoint{}
		d := newDispatcher(e)
		d.Log = slog.New(slog.DiscardHandler)
		var panics atomic.Bool
		candidates := d.Candidates
		d.Candidates = func() []railcandidate.Candidate {
			if panics.Swap(false) {
				panic("at the candidates")
			}
			return candidates()
		}
		req := railrequest.Request{Customer: "castle", Weight: 1, Deadline: time.Now().Add(time.Minute)}
		panics.Store(true)
		qt.Check(t, func() { _, _ = d.Acquire(t.Context(), req, 10, false) }, qt.PanicMatches, "at the candidates")
		_, err := d.Acquire(t.Context(), req, 10, false)
		qt.Assert(t, err, qt.IsNil)
		errs := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := d.Acquire(t.Context(), req, 10, false)
				errs <- err
			}()
		}
		time.Sleep(time.Second)
		qt.Assert(t, d.Waiting(), qt.Equals, 2)
		e.add(-1)
		panics.Store(true)
		d.Wake()
		failed, granted := <-errs, <-errs
		if failed == nil {
			failed, granted = granted, failed
		}
		qt.Check(t, failed, qt.ErrorMatches, "the choice of an endpoint has failed")
		qt.Check(t, granted, qt.IsNil)
		qt.Check(t, d.Waiting(), qt.Equals, 0)
	})
}
