package railslots_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railslots"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

const slotGroup = "chat/a"

// testRestoredSlot calls body in virtual time after the store has lost that the first holder acquired the only slot.
func testRestoredSlot(t *testing.T, body func(c *qt.C, platform *railplatform.Platform, holder, other *railslots.Slots)) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &railplatform.Platform{}
		holder, other := newSlots(platform, "a"), newSlots(platform, "b")
		earlier := newSlots(platform, "earlier")
		c.Check(earlier.Acquire(t.Context(), slotGroup, 1), qt.IsNil)
		earlier.Release(t.Context())
		time.Sleep(10 * time.Second)
		c.Check(holder.Acquire(t.Context(), slotGroup, 1), qt.IsNil)
		time.Sleep(time.Second)
		platform.Restore(5 * time.Second)
		body(c, platform, holder, other)
	})
}

// Guards against two endpoints of a group that are out of service at once, since the store has lost that one holds the slot.
func TestLostSlotIsNotAcquiredByAnother(t *testing.T) {
	testRestoredSlot(t, func(c *qt.C, _ *railplatform.Platform, holder, other *railslots.Slots) {
		for range 8 {
			c.Check(other.Acquire(c.Context(), slotGroup, 1), qt.ErrorIs, railslots.ErrNoFreeSlot)
			time.Sleep(lease / 4)
			c.Check(holder.Renew(c.Context()), qt.IsNil)
			c.Check(holder.Valid(time.Second), qt.IsTrue)
		}
		holder.Release(c.Context())
		c.Check(other.Acquire(c.Context(), slotGroup, 1), qt.IsNil)
	})
}

// Guards against a holder that takes its endpoint out of service although another one has its slot after the restore.
func TestHolderGivesWayToAnotherThatHasItsSlot(t *testing.T) {
	testRestoredSlot(t, func(c *qt.C, platform *railplatform.Platform, holder, _ *railslots.Slots) {
		_, version, err := platform.Get(c.Context(), "slot/"+slotGroup+"/0")
		c.Check(err, qt.IsNil)
		_, err = platform.Put(c.Context(), "slot/"+slotGroup+"/0", []byte("b"), version)
		c.Check(err, qt.IsNil)
		c.Check(holder.Renew(c.Context()), qt.ErrorIs, railslots.ErrNoFreeSlot)
		c.Check(holder.Valid(0), qt.IsFalse)
	})
}

// Guards against a slot that stays taken since the store has brought back a holder that released it.
func TestSlotOfHolderThatCameBackExpires(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &railplatform.Platform{}
		holder, other := newSlots(platform, "a"), newSlots(platform, "b")
		c.Check(holder.Acquire(t.Context(), slotGroup, 1), qt.IsNil)
		time.Sleep(10 * time.Second)
		holder.Release(t.Context())
		time.Sleep(time.Second)
		platform.Restore(5 * time.Second)
		c.Check(other.Acquire(t.Context(), slotGroup, 1), qt.ErrorIs, railslots.ErrNoFreeSlot)
		time.Sleep(2 * lease)
		c.Check(other.Acquire(t.Context(), slotGroup, 1), qt.IsNil)
	})
}

// Guards against a fencing token that an engine has seen before, since the store gives out its numbers again.
func TestFencingTokensIncreaseAcrossRestores(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &railplatform.Platform{}
		last := int64(0)
		for n := range 20 {
			token, err := newSlots(platform, "a").NextFencingToken(t.Context(), "chat-0")
			c.Check(err, qt.IsNil)
			c.Check(token > last, qt.IsTrue, qt.Commentf("restore %d", n))
			last = token
			time.Sleep(time.Second)
			if n%3 == 0 {
				platform.Restore(time.Duration(n) * time.Second)
			}
		}
	})
}
