package railentries_test

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railentries"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
)

const total = 39

func members(n int) []railmember.Member {
	list := make([]railmember.Member, n)
	for i := range list {
		list[i].Name = fmt.Sprint("entry-", i)
	}
	return list
}

func newEntries(self string) *railentries.Entries {
	return &railentries.Entries{Self: self, Log: slog.New(slog.DiscardHandler)}
}

func TestSharesOfAllEntriesAddUpToTotal(t *testing.T) {
	for _, n := range []int{1, 2, 5, 6, 17, 39, 40, 340} {
		for _, endpoint := range []string{"i-1", "i-2", "i-3"} {
			sum := 0
			for _, m := range members(n) {
				e := newEntries(m.Name)
				e.SetMembers(members(n))
				sum += e.Share(endpoint, total)
			}
			qt.Check(t, sum, qt.Equals, total, qt.Commentf("%d entries at %s", n, endpoint))
		}
	}
}

func TestHoldersAreTheOthersWithAShare(t *testing.T) {
	for _, n := range []int{1, 2, 17, 39, 40, 100} {
		var want []string
		for _, m := range members(n) {
			e := newEntries(m.Name)
			e.SetMembers(members(n))
			if e.Share("i-1", total) > 0 && m.Name != "entry-0" {
				want = append(want, m.Name)
			}
		}
		e := newEntries("entry-0")
		qt.Check(t, e.Holders("i-1", total), qt.HasLen, 0)
		e.SetMembers(members(n))
		got := e.Holders("i-1", total)
		slices.Sort(got)
		slices.Sort(want)
		qt.Check(t, len(got) == len(want) && slices.Equal(got, want), qt.IsTrue, qt.Commentf("%d entries: %v, want %v", n, got, want))
	}
}

// Guards against overloading cold engines after a power loss of all VMs. All entries start at the same time, and each one read
// the configuration before the list of entries: a cold engine that accepts 44 requests per second got 47.
func TestShareIsZeroBeforeEntryListIsLoaded(t *testing.T) {
	e := newEntries("entry-0")
	qt.Check(t, e.Share("i-1", total), qt.Equals, 0)
	e.SetMembers(nil)
	qt.Check(t, e.Share("i-1", total), qt.Equals, total, qt.Commentf("it is the only entry"))
}

// An entry that was added while this entry can't read the list is discovered by its datagrams.
func TestUnlistedEntryCountsWhileSeen(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		const total = 40
		e := newEntries("entry-0")
		e.SetMembers(members(1))
		e.MarkSeen("entry-0")
		qt.Check(t, e.Share("i-1", total), qt.Equals, total)
		e.MarkSeen("entry-1")
		qt.Check(t, e.Share("i-1", total), qt.Equals, total/2)
		time.Sleep(time.Minute)
		qt.Check(t, e.Share("i-1", total), qt.Equals, total, qt.Commentf("the other entry was not seen again"))
		e.SetMembers(members(2))
		time.Sleep(time.Minute)
		qt.Check(t, e.Share("i-1", total), qt.Equals, total/2, qt.Commentf("a listed entry counts even if it is not seen"))
	})
}

// Guards against shares of limits that lie unused because they belong to entries that are gone for good: nobody removes their rows.
func TestSharesOfEntriesThatAreGoneGoToTheOthers(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		const all, left = 18, 6
		var entries []*railentries.Entries
		for _, m := range members(left) {
			e := newEntries(m.Name)
			e.SetMembers(members(all))
			entries = append(entries, e)
		}
		for range 600 { // Digests of those that are left, for ten minutes.
			for i, e := range entries {
				for j, m := range members(left) {
					if i != j {
						e.MarkSeen(m.Name)
					}
				}
			}
			time.Sleep(time.Second)
		}
		sum := 0
		for _, e := range entries {
			sum += e.Share("i-1", total)
		}
		qt.Check(t, sum, qt.Equals, total)
	})
}
