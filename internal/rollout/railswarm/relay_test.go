package railswarm_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
)

const (
	// relayRate and slowRelayRate are the rates of relays' links in bytes per second, and relayUploadSlots the number of chunks
	// that a relay sends at once.
	relayRate        = 125_000_000
	slowRelayRate    = 5_000_000
	relayUploadSlots = 64
	// relayLag is the time that relays may take to pass on the origin's last chunks.
	relayLag = 500 * time.Millisecond
)

// addRelays adds relays. They use half of their links, which are those of entries, for uploads.
func (c *cluster) addRelays(n int, rate float64) []*agent {
	var agents []*agent
	for i := range n {
		region := fmt.Sprintf("region-%d", i%3)
		a := c.addMember(railmember.Member{Name: fmt.Sprintf("relay-%02d", i), Role: railmember.RoleEntry, Zone: region, Region: region}, rate, false)
		a.chunkServer.Uploads.Slots = relayUploadSlots
		a.chunkServer.Pacer.SetRate(int(rate/2), 0)
		agents = append(agents, a)
	}
	return agents
}

// Without relays, the uploads between agents use up their links. The relays' links are over a hundred times as fast.
func TestRelaysDistributeNewVersionAtOriginRate(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t)
		took := longest(c.fetch(append(c.addRelays(6, relayRate), c.addAgents(0, 27, linkRate, false)...)...))
		qt.Check(t, took < copyTime+relayLag, qt.IsTrue, qt.Commentf("took %s; one copy takes %s", took, copyTime))
		qt.Check(t, c.originChunks.Load() <= maxChunkTransfers, qt.IsTrue, qt.Commentf("%d chunks fetched from the origin", c.originChunks.Load()))
		for _, region := range []string{"region-1", "region-2"} {
			qt.Check(t, c.importedBy(region) <= maxChunkTransfers, qt.IsTrue, qt.Commentf("%d chunks imported by %s", c.importedBy(region), region))
		}
	})
}

// Relays whose links are only a few times as fast as the agents' must not make 99 agents slower than without relays
// (TestLargeSwarmTakesLessThanTwoCopyTimes). When all agents requested the rarest chunks from them at once, a download took 11 s.
func TestSlowRelaysDoNotDelayLargeSwarm(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t)
		took := longest(c.fetch(append(c.addRelays(6, slowRelayRate), c.addAgents(0, 99, linkRate, false)...)...))
		qt.Check(t, took < 2*copyTime, qt.IsTrue, qt.Commentf("took %s; one copy takes %s", took, copyTime))
	})
}

// Guards against agents that retry a failed origin as often as relays do: once it was restored, both fetched the same chunks.
func TestOnlyRelaysFetchFromOriginAfterOutage(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t)
		down, restored := c.scheduleOriginOutage()
		took := longest(c.fetch(append(c.addRelays(6, relayRate), c.addAgents(0, 27, linkRate, false)...)...))
		remaining := copyTime - down
		qt.Check(t, took < restored+remaining+relayLag, qt.IsTrue, qt.Commentf("took %s; the origin was restored after %s", took, restored))
		qt.Check(t, c.originChunks.Load() <= maxChunkTransfers, qt.IsTrue, qt.Commentf("%d chunks fetched from the origin", c.originChunks.Load()))
	})
}

// The relays disconnect in the middle of the download, and the agents have to finish without them.
func TestAgentsFinishAfterRelaysDisconnect(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t)
		dead := c.addRelays(6, relayRate)
		time.AfterFunc(copyTime/3, func() {
			for _, a := range dead {
				a.disconnected.Store(true)
			}
		})
		for _, a := range dead {
			go func() { _ = a.swarm.Fetch(t.Context(), c.manifest) }() // The test does not check whether these finish.
		}
		took := longest(c.fetch(c.addAgents(0, 27, linkRate, false)...))
		qt.Check(t, took < 3*copyTime, qt.IsTrue, qt.Commentf("took %s; one copy takes %s", took, copyTime))
	})
}

// The list of agents may still contain entries of VMs that are gone.
func TestDisconnectedRelaysDoNotDelayFetch(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t)
		relays := c.addRelays(12, relayRate)
		for _, a := range relays[:6] {
			a.disconnected.Store(true)
		}
		took := longest(c.fetch(append(relays[6:], c.addAgents(0, 27, linkRate, false)...)...))
		qt.Check(t, took < maxFetchTime, qt.IsTrue, qt.Commentf("took %s; one copy takes %s", took, copyTime))
	})
}
