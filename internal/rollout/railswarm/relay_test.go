package railswarm_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
)

const (
	// relayRate and narrowRate are the rates of entries' links, and relaySlots the number of chunks that one gives at once.
	relayRate  = 125_000_000
	narrowRate = 5_000_000
	relaySlots = 64
	// relayedIn is the time in which relays pass on what the origin has given last.
	relayedIn = 500 * time.Millisecond
)

// addRelays adds relays, whose links are those of entries; they give half of them.
func (w *swarm) addRelays(n int, rate float64) []*agent {
	var list []*agent
	for i := range n {
		region := fmt.Sprintf("region-%d", i%3)
		a := w.join(railmember.Member{Name: fmt.Sprintf("relay-%02d", i), Role: railmember.RoleEntry, Zone: region, Region: region}, rate, false)
		a.sharing.Uploads.Slots = relaySlots
		a.sharing.Pacer.SetRate(int(rate/2), 0)
		list = append(list, a)
	}
	return list
}

// The agents' own links are used up by giving each other chunks; those of the entries are a hundred times as wide.
func TestRelaysBringANewVersionToAllAsFastAsTheOriginGivesIt(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newSwarm(t)
		took := longest(w.fetch(append(w.addRelays(6, relayRate), w.addMany(0, 27, linkRate, false)...)...))
		qt.Check(t, took < copyTime+relayedIn, qt.IsTrue, qt.Commentf("%s, one copy takes %s", took, copyTime))
		qt.Check(t, w.drawn.Load() <= mostCopies, qt.IsTrue, qt.Commentf("%d chunks drawn", w.drawn.Load()))
		for _, region := range []string{"region-1", "region-2"} {
			qt.Check(t, w.importedBy(region) <= mostCopies, qt.IsTrue, qt.Commentf("%d chunks imported by %s", w.importedBy(region), region))
		}
	})
}

// Where the entries' links are only a few times as wide as the agents', 99 agents have the same time as without them
// (TestManyAgentsTakeLittleLonger); all asked them for the rarest chunks at once, and took 11 s.
func TestRelaysOnNarrowLinksHoldUpNobody(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newSwarm(t)
		took := longest(w.fetch(append(w.addRelays(6, narrowRate), w.addMany(0, 99, linkRate, false)...)...))
		qt.Check(t, took < 2*copyTime, qt.IsTrue, qt.Commentf("%s, one copy takes %s", took, copyTime))
	})
}

// While the origin was away agents tried as often as relays; when it was back they drew the same chunks.
func TestTheOriginsReturnIsUsedByRelaysAlone(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newSwarm(t)
		away, back := w.leaveOrigin()
		took := longest(w.fetch(append(w.addRelays(6, relayRate), w.addMany(0, 27, linkRate, false)...)...))
		left := copyTime - away
		qt.Check(t, took < back+left+relayedIn, qt.IsTrue, qt.Commentf("%s, the origin was back after %s", took, back))
		qt.Check(t, w.drawn.Load() <= mostCopies, qt.IsTrue, qt.Commentf("%d chunks drawn", w.drawn.Load()))
	})
}

// Relays that die in the middle leave the agents to themselves.
func TestAgentsGoOnWithoutRelays(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newSwarm(t)
		dead := w.addRelays(6, relayRate)
		time.AfterFunc(copyTime/3, func() {
			for _, a := range dead {
				a.cut.Store(true)
			}
		})
		for _, a := range dead {
			go func() { _ = a.swarm.Fetch(t.Context(), w.manifest) }() // Whether these get the weights is not the question.
		}
		took := longest(w.fetch(w.addMany(0, 27, linkRate, false)...))
		qt.Check(t, took < 3*copyTime, qt.IsTrue, qt.Commentf("%s, one copy takes %s", took, copyTime))
	})
}

// Entries of VMs that are gone may still be listed.
func TestRelaysThatAreGoneHoldUpNobody(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newSwarm(t)
		relays := w.addRelays(12, relayRate)
		for _, a := range relays[:6] {
			a.cut.Store(true)
		}
		took := longest(w.fetch(append(relays[6:], w.addMany(0, 27, linkRate, false)...)...))
		qt.Check(t, took < most, qt.IsTrue, qt.Commentf("%s, one copy takes %s", took, copyTime))
	})
}
