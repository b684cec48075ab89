package railclaim_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/request/railclaim"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
	"github.com/fulmarrail/fulmarrail/internal/store/railera"
)

func newClaimer(platform *railplatform.Platform, name string) *railclaim.Claimer {
	era := &railera.Tracker{}
	return &railclaim.Claimer{Table: era.Watch(platform), Era: era, Holder: name, Incarnation: name + "-1", Log: slog.New(slog.DiscardHandler)}
}

func TestClaimWithLostResponseIsReadBack(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &railplatform.Platform{}
		platform.SetResponseLoss(1)
		version, existing, err := newClaimer(platform, "a").Claim(t.Context(), "row", "r1", "body", 0)
		c.Assert(err, qt.IsNil)
		c.Check(version, qt.Equals, int64(1))
		c.Check(existing, qt.IsNil)
		_, existing, err = newClaimer(platform, "b").Claim(t.Context(), "row", "r2", "body", 0)
		c.Check(err, qt.ErrorIs, railclaim.ErrHeld)
		c.Check(existing.GetRequestId(), qt.Equals, "r1")
	})
}

func TestClaimFailsDuringOutage(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &railplatform.Platform{}
		platform.SetDown(true)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, _, err := newClaimer(platform, "a").Claim(ctx, "row", "r1", "body", 0)
		c.Check(err, qt.ErrorIs, railclaim.ErrUnavailable)
	})
}

func TestOnlyOneRequestTakesOverAbandonedClaim(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &railplatform.Platform{Seed: 1}
		version, _, err := newClaimer(platform, "gone").Claim(t.Context(), "row", "r0", "body", 0)
		c.Assert(err, qt.IsNil)
		platform.SetResponseLoss(0.5)
		var mu sync.Mutex
		var wg sync.WaitGroup
		holders := 0
		for i := range 10 {
			wg.Go(func() {
				_, _, err := newClaimer(platform, fmt.Sprint(i)).Claim(t.Context(), "row", fmt.Sprintf("r%d", i+1), "body", version)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					holders++
				}
			})
		}
		wg.Wait()
		c.Check(holders, qt.Equals, 1)
	})
}

func TestOutcomeIsWrittenAfterOutageAndOmitsLargeResponse(t *testing.T) {
	for _, size := range []int{10, 100 << 10} {
		railvirtualtime.Test(t, func(t *testing.T) {
			c := qt.New(t)
			platform := &railplatform.Platform{}
			holder := newClaimer(platform, "a")
			version, _, err := holder.Claim(t.Context(), "row", "r1", "body", 0)
			c.Assert(err, qt.IsNil)
			platform.SetDown(true)
			holder.WriteOutcome("row", version, "r1", "body", 200, "text/plain", make([]byte, size))
			time.Sleep(time.Minute)
			platform.SetDown(false)
			holder.Wait()
			_, existing, err := newClaimer(platform, "b").Claim(t.Context(), "row", "r2", "body", 0)
			c.Check(err, qt.ErrorIs, railclaim.ErrHeld)
			c.Check(existing.GetDone(), qt.IsTrue)
			c.Check(existing.GetAnswerOmitted(), qt.Equals, size > 64<<10)
		})
	}
}

// The table service accepts rows of up to 64 KiB. A larger outcome could not be written and would leave its key claimed forever.
func TestLargeResponseDoesNotPreventItsOutcome(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &railplatform.Platform{}
		a := newClaimer(platform, "a")
		for i, size := range []int{10, 63 << 10, 64 << 10, 1 << 20} {
			row := fmt.Sprint("row-", i)
			version, _, err := a.Claim(t.Context(), row, "r1", "body", 0)
			c.Assert(err, qt.IsNil)
			a.WriteOutcome(row, version, "r1", "body", 200, "text/plain", make([]byte, size))
			a.Wait()
			_, existing, err := newClaimer(platform, "b").Claim(t.Context(), row, "r2", "body", 0)
			c.Check(err, qt.ErrorIs, railclaim.ErrHeld)
			c.Check(existing.GetDone(), qt.IsTrue, qt.Commentf("a response of %d bytes", size))
		}
	})
}
