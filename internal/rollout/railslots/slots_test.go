package railslots_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railslots"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
	"github.com/fulmarrail/fulmarrail/internal/store/railera"
)

const lease = 15 * time.Second

func newSlots(platform *railplatform.Platform, holder string) *railslots.Slots {
	era := &railera.Tracker{}
	return &railslots.Slots{Table: era.Watch(platform), Era: era, Holder: holder, Lease: lease}
}

func TestExpiredSlotIsTakenOver(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &railplatform.Platform{}
		frozen := newSlots(platform, "a")
		other := newSlots(platform, "b")
		c.Assert(frozen.Acquire(t.Context(), "chat/a", 1), qt.IsNil)
		c.Check(frozen.Valid(time.Second), qt.IsTrue)
		c.Check(other.Acquire(t.Context(), "chat/a", 1), qt.ErrorIs, railslots.ErrNoFreeSlot)
		time.Sleep(lease + time.Second)
		c.Check(frozen.Valid(0), qt.IsFalse)
		c.Assert(other.Acquire(t.Context(), "chat/a", 1), qt.IsNil)
		c.Check(frozen.Renew(t.Context()), qt.IsNotNil)
		frozen.Release(t.Context())
		c.Check(other.Renew(t.Context()), qt.IsNil)
	})
}

func TestRenewedLeaseIsNotTakenOver(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &railplatform.Platform{}
		holder := newSlots(platform, "a")
		other := newSlots(platform, "b")
		c.Assert(holder.Acquire(t.Context(), "chat/a", 1), qt.IsNil)
		for range 20 {
			time.Sleep(lease / 4)
			c.Assert(holder.Renew(t.Context()), qt.IsNil)
			c.Check(other.Acquire(t.Context(), "chat/a", 1), qt.ErrorIs, railslots.ErrNoFreeSlot)
		}
	})
}

func TestFencingTokensIncreaseWhenRepliesAreLost(t *testing.T) {
	c := qt.New(t)
	platform := &railplatform.Platform{Seed: 1}
	slots := newSlots(platform, "a")
	platform.SetResponseLoss(0.5)
	last := int64(0)
	for range 20 {
		token, err := slots.NextFencingToken(t.Context(), "chat-0")
		c.Assert(err, qt.IsNil)
		c.Check(token > last, qt.IsTrue)
		last = token
	}
}
