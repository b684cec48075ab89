package railclaim_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/request/railclaim"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

func claimer(platform *railplatform.Platform, name string) *railclaim.Claimer {
	return &railclaim.Claimer{Table: platform, Holder: name, Incarnation: name + "-1", Log: slog.New(slog.DiscardHandler)}
}

func TestClaimWhoseAnswerWasLostIsReadBack(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &railplatform.Platform{}
		platform.SetLossy(1)
		version, standing, err := claimer(platform, "a").Claim(t.Context(), "row", "r1", "body", 0)
		c.Assert(err, qt.IsNil)
		c.Check(version, qt.Equals, int64(1))
		c.Check(standing, qt.IsNil)
		_, standing, err = claimer(platform, "b").Claim(t.Context(), "row", "r2", "body", 0)
		c.Check(err, qt.ErrorIs, railclaim.ErrHeld)
		c.Check(standing.GetRequestId(), qt.Equals, "r1")
	})
}

func TestKeyCannotBeClaimedDuringAnOutage(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &railplatform.Platform{}
		platform.SetDown(true)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, _, err := claimer(platform, "a").Claim(ctx, "row", "r1", "body", 0)
		c.Check(err, qt.ErrorIs, railclaim.ErrUnavailable)
	})
}

func TestOneOfManyTakesAnAbandonedClaimOver(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &railplatform.Platform{Seed: 1}
		version, _, err := claimer(platform, "gone").Claim(t.Context(), "row", "r0", "body", 0)
		c.Assert(err, qt.IsNil)
		platform.SetLossy(0.5)
		var mu sync.Mutex
		var wg sync.WaitGroup
		owners := 0
		for i := range 10 {
			wg.Go(func() {
				_, _, err := claimer(platform, fmt.Sprint(i)).Claim(t.Context(), "row", fmt.Sprintf("r%d", i+1), "body", version)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					owners++
				}
			})
		}
		wg.Wait()
		c.Check(owners, qt.Equals, 1)
	})
}

func TestOutcomeIsWrittenAfterAnOutageAndSaysWhenTheAnswerIsTooLarge(t *testing.T) {
	for _, size := range []int{10, 100 << 10} {
		railvirtual.Test(t, func(t *testing.T) {
			c := qt.New(t)
			platform := &railplatform.Platform{}
			holder := claimer(platform, "a")
			version, _, err := holder.Claim(t.Context(), "row", "r1", "body", 0)
			c.Assert(err, qt.IsNil)
			platform.SetDown(true)
			holder.WriteOutcome("row", version, "r1", "body", 200, "text/plain", make([]byte, size))
			time.Sleep(time.Minute)
			platform.SetDown(false)
			holder.Wait()
			_, standing, err := claimer(platform, "b").Claim(t.Context(), "row", "r2", "body", 0)
			c.Check(err, qt.ErrorIs, railclaim.ErrHeld)
			c.Check(standing.GetDone(), qt.IsTrue)
			c.Check(standing.GetAnswerOmitted(), qt.Equals, size > 64<<10)
		})
	}
}

// The platform takes rows of 64 KiB; a larger outcome would leave its key claimed for good.
func TestALongAnswerIsLeftOutOfItsOutcome(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &railplatform.Platform{}
		a := claimer(platform, "a")
		for i, length := range []int{10, 63 << 10, 64 << 10, 1 << 20} {
			row := fmt.Sprint("row-", i)
			version, _, err := a.Claim(t.Context(), row, "r1", "body", 0)
			c.Assert(err, qt.IsNil)
			a.WriteOutcome(row, version, "r1", "body", 200, "text/plain", make([]byte, length))
			a.Wait()
			_, standing, err := claimer(platform, "b").Claim(t.Context(), row, "r2", "body", 0)
			c.Check(err, qt.ErrorIs, railclaim.ErrHeld)
			c.Check(standing.GetDone(), qt.IsTrue, qt.Commentf("an answer of %d bytes", length))
		}
	})
}
