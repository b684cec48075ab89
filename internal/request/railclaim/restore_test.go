package railclaim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/request/railclaim"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

// settled is a time after which keys can be claimed again in a new era.
const settled = 20 * time.Second

// restored holds the claimers of two agents, of which the first has claimed the key "row" in the seconds that the store then loses.
type restored struct {
	platform      *railplatform.Platform
	holder, other *railclaim.Claimer
	version       int64
}

// testRestored calls body in virtual time, after the store was restored. The holder has written its outcome before if ended is set.
func testRestored(t *testing.T, ended bool, body func(c *qt.C, r restored)) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := restored{platform: &railplatform.Platform{}}
		r.holder, r.other = newClaimer(r.platform, "a"), newClaimer(r.platform, "b")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			r.holder.Run(ctx)
			close(done)
		}()
		version, _, err := r.holder.Claim(t.Context(), "row", "r1", "body", 0)
		c.Check(err, qt.IsNil)
		r.version = version
		if ended {
			r.holder.WriteOutcome("row", version, "r1", "body", 200, "text/plain", []byte("answer"))
			r.holder.Wait()
		}
		time.Sleep(time.Second)
		r.platform.Restore(5 * time.Second)
		body(c, r)
		cancel()
		<-done
	})
}

// Guards against a second run of a key whose claim the store has lost: the holder writes it again, and nobody claims it before that.
func TestLostClaimIsWrittenAgainBeforeItsKeyIsClaimed(t *testing.T) {
	for _, ended := range []bool{false, true} {
		testRestored(t, ended, func(c *qt.C, r restored) {
			_, _, err := r.other.Claim(c.Context(), "row", "r2", "body", 0)
			c.Check(err, qt.ErrorIs, railclaim.ErrUnavailable)
			c.Check(r.other.Unsettled() > 0, qt.IsTrue)
			r.holder.Era.Observe(1, 0) // As a heartbeat tells it.
			time.Sleep(settled)
			_, existing, err := r.other.Claim(c.Context(), "row", "r3", "body", 0)
			c.Check(err, qt.ErrorIs, railclaim.ErrHeld)
			c.Check(existing.GetRequestId(), qt.Equals, "r1")
			c.Check(existing.GetDone(), qt.Equals, ended)
		})
	}
}

// Guards against an outcome that is taken for written since its condition names a version of an earlier era.
func TestOutcomeOfLostClaimIsWritten(t *testing.T) {
	testRestored(t, false, func(c *qt.C, r restored) {
		r.holder.WriteOutcome("row", r.version, "r1", "body", 200, "text/plain", []byte("answer"))
		r.holder.Wait()
		time.Sleep(settled)
		_, existing, err := r.other.Claim(c.Context(), "row", "r2", "body", 0)
		c.Check(err, qt.ErrorIs, railclaim.ErrHeld)
		c.Check(string(existing.GetAnswer()), qt.Equals, "answer")
	})
}

// Guards against claims that fail until their deadline since the row that they may overwrite was lost.
func TestLostRowIsClaimedAnew(t *testing.T) {
	testRestored(t, false, func(c *qt.C, r restored) {
		r.holder.Release("row")
		r.other.Era.Observe(1, settled)
		ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
		defer cancel()
		_, _, err := r.other.Claim(ctx, "row", "r2", "body", r.version)
		c.Check(err, qt.IsNil)
	})
}

// Guards against refusing keys for some time at each start of an agent since the store was once restored.
func TestAgentThatStartsLongAfterRestoreClaimsAtOnce(t *testing.T) {
	testRestored(t, false, func(c *qt.C, r restored) {
		late := newClaimer(r.platform, "late")
		late.Era.Observe(1, time.Hour)
		_, _, err := late.Claim(c.Context(), "other row", "r1", "body", 0)
		c.Check(err, qt.IsNil)
	})
}

// Guards against keys that are claimed anew since many agents could not write their lost claims again at the platform's rate of writes.
func TestLostClaimsOfManyAgentsAreWrittenBeforeKeysAreClaimed(t *testing.T) {
	const (
		agents, claimsPerAgent = 200, 15
		// heartbeatDelay bounds the time until all agents have heard of a new era.
		heartbeatDelay = 3 * time.Second
	)
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &railplatform.Platform{WriteRate: 500, ReadRate: 2000}
		ctx, cancel := context.WithCancel(t.Context())
		var claims, runs sync.WaitGroup
		started := time.Now()
		var claimers []*railclaim.Claimer
		for n := range agents {
			claimer := newClaimer(platform, fmt.Sprint(n))
			claimers = append(claimers, claimer)
			runs.Go(func() { claimer.Run(ctx) })
			claims.Go(func() {
				for i := range claimsPerAgent {
					row := fmt.Sprint(n, "-", i)
					_, _, err := claimer.Claim(ctx, row, row, "body", 0)
					c.Check(err, qt.IsNil)
				}
			})
		}
		claims.Wait()
		platform.Restore(time.Since(started) + time.Second)
		time.Sleep(heartbeatDelay)
		first := newClaimer(platform, "first")
		first.Era.Observe(1, heartbeatDelay)
		for _, claimer := range claimers {
			claimer.Era.Observe(1, heartbeatDelay)
		}
		time.Sleep(first.Unsettled())
		lost := 0
		for n := range agents {
			for i := range claimsPerAgent {
				value, version, err := platform.Get(ctx, fmt.Sprint(n, "-", i))
				if err == nil && (version == 0 || len(value) == 0) {
					lost++
				}
				time.Sleep(time.Millisecond)
			}
		}
		c.Check(lost, qt.Equals, 0)
		cancel()
		runs.Wait()
	})
}

// Guards against a key that is claimed anew at the end of an outage that follows the restore, before its holder could write it again.
func TestKeyIsNotClaimedRightAfterOutageThatFollowsRestore(t *testing.T) {
	testRestored(t, true, func(c *qt.C, r restored) {
		_, _, err := r.other.Claim(c.Context(), "row", "r2", "body", 0)
		c.Check(err, qt.ErrorIs, railclaim.ErrUnavailable)
		r.platform.Restore(5 * time.Second)
		for _, claimer := range []*railclaim.Claimer{r.holder, r.other} {
			claimer.Era.Observe(2, 0)
		}
		r.platform.SetDown(true)
		for range 30 {
			time.Sleep(time.Second)
			_, _, _ = r.other.Table.Get(c.Context(), "any row") // As an agent does that nobody confirms the configuration to.
		}
		r.platform.SetDown(false)
		_, _, err = r.other.Claim(c.Context(), "row", "r3", "body", 0)
		c.Check(err, qt.ErrorIs, railclaim.ErrUnavailable)
		time.Sleep(settled)
		_, existing, err := r.other.Claim(c.Context(), "row", "r4", "body", 0)
		c.Check(err, qt.ErrorIs, railclaim.ErrHeld)
		c.Check(existing.GetRequestId(), qt.Equals, "r1")
	})
}
