package railpeer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/node/railpeer"
)

// Relays whose links are hardly faster than the origin's delay the agents: 27 agents took 11.9 s instead of 3.5 s.
func TestEligibleRelaysExcludesSlowLinks(t *testing.T) {
	const megabit = 125_000
	entry := func(host string, link int) railmember.Member {
		return railmember.Member{Name: "entry", Role: railmember.RoleEntry, Address: host + ":7000", Link: link}
	}
	entries := []railmember.Member{
		entry("10.0.0.1", 1000*megabit), entry("10.0.0.2", 40*megabit), entry("10.0.0.3", 7*megabit), entry("10.0.0.4", 0),
	}
	names := func(origin railbackend.Backend) []string {
		var list []string
		for _, m := range railpeer.EligibleRelays(entries, origin) {
			list = append(list, m.Name)
		}
		return list
	}
	qt.Check(t, names(railbackend.Backend{Link: 7 * megabit}), qt.DeepEquals, []string{"10.0.0.1"})
	qt.Check(t, names(railbackend.Backend{Link: 2 * megabit}), qt.DeepEquals, []string{"10.0.0.1", "10.0.0.2"})
	qt.Check(t, names(railbackend.Backend{}), qt.HasLen, 0, qt.Commentf("the origin's link capacity is unknown"))
}

func TestRelayableLimitsWeightsSize(t *testing.T) {
	qt.Check(t, railpeer.Relayable(&railbackend.Engine{Chunks: 96, ChunkBytes: 24_576}), qt.IsTrue)
	qt.Check(t, railpeer.Relayable(&railbackend.Engine{Chunks: 4096, ChunkBytes: 1 << 20}), qt.IsFalse)
	qt.Check(t, railpeer.Relayable(&railbackend.Engine{}), qt.IsFalse, qt.Commentf("the size of the weights is unknown"))
}
