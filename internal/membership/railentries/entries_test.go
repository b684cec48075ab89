package railentries_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/membership/railentries"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
)

const bound = 39

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

func TestThePartsOfAllEntriesAddUpToTheTotal(t *testing.T) {
	for _, n := range []int{1, 2, 5, 6, 17, 39, 40, 340} {
		for _, endpoint := range []string{"i-1", "i-2", "i-3"} {
			sum := 0
			for _, m := range members(n) {
				e := newEntries(m.Name)
				e.SetMembers(members(n))
				sum += e.Share(endpoint, bound)
			}
			qt.Check(t, sum, qt.Equals, bound, qt.Commentf("%d entries at %s", n, endpoint))
		}
	}
}

// After a loss of power of all VMs the entries start at one moment, and each read the configuration before it read who else is
// there: a cold engine got 47 requests in a second of which it bears 44.
func TestAnEntryThatDoesNotKnowTheOthersHasNoPart(t *testing.T) {
	e := newEntries("entry-0")
	qt.Check(t, e.Share("i-1", bound), qt.Equals, 0)
	e.SetMembers(nil)
	qt.Check(t, e.Share("i-1", bound), qt.Equals, bound, qt.Commentf("it is the only one"))
}

// An entry that was added while this one can't read the list is heard of by its datagrams.
func TestAnEntryThatIsOnlyHeardOfCounts(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		const total = 40
		e := newEntries("entry-0")
		e.SetMembers(members(1))
		e.MarkSeen("entry-0")
		qt.Check(t, e.Share("i-1", total), qt.Equals, total)
		e.MarkSeen("entry-1")
		qt.Check(t, e.Share("i-1", total), qt.Equals, total/2)
		time.Sleep(time.Minute)
		qt.Check(t, e.Share("i-1", total), qt.Equals, total, qt.Commentf("it was not heard of again"))
		e.SetMembers(members(2))
		time.Sleep(time.Minute)
		qt.Check(t, e.Share("i-1", total), qt.Equals, total/2, qt.Commentf("a listed one counts whether it is heard of or not"))
	})
}
