package railswarm

import (
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railpicker"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// sendInterval and sendIntervalPerAgent give the interval between two inventories to the neighbours when something has
	// changed, which grows with the number of agents that receive them. resendInterval applies when nothing has changed.
	sendInterval         = 40 * time.Millisecond
	sendIntervalPerAgent = 4 * time.Millisecond
	resendInterval       = 200 * time.Millisecond
	// regionWideSendInterval is the interval between two inventories to all agents of the region. Up to fullMeshSize agents in a
	// region are all neighbours of each other.
	regionWideSendInterval = 400 * time.Millisecond
	fullMeshSize           = 12
	// outsideSendInterval is the interval between two inventories to the upstream region, which this region imports from, and
	// outsideFanout the number of its agents that each one is sent to.
	outsideSendInterval = 200 * time.Millisecond
	outsideFanout       = 2
	// replyInterval and outsideReplyInterval are the minimum intervals between two replies to the same agent, within the region
	// and outside of it.
	replyInterval        = 150 * time.Millisecond
	outsideReplyInterval = 90 * time.Millisecond
	// regionSilenceTimeout is the time without an inventory from the upstream region after which agents of all regions are asked.
	regionSilenceTimeout = 600 * time.Millisecond
	bitsPerByte          = 8
)

// gossipState records the inventories that an agent has sent and received for one manifest.
type gossipState struct {
	// lastSent is when an inventory was last sent to each agent.
	lastSent map[string]time.Time
	// lastNeighbourSend, lastOutsideSend and lastRegionWideSend are when inventories were last sent to the neighbours, to other
	// regions and to all agents of the region.
	lastNeighbourSend, lastOutsideSend, lastRegionWideSend time.Time
	// sentHeld and sentImporting are the sets in the last inventory to the region.
	sentHeld, sentImporting *bitset.BitSet
	// senders holds the agents that sent inventories; the list of agents may not contain them yet.
	senders map[string]railmember.Member
	// lastReceived is when an inventory last arrived from each region.
	lastReceived map[string]time.Time
	// startTime is when the job was created.
	startTime time.Time
}

// handleInventory records another agent's inventory. It replies, at most once per reply interval, if that agent lacks a chunk
// that this one holds.
func (j *job) handleInventory(from railmember.Member, inventory *railproto.Inventory) {
	reply, shouldReply := j.recordInventory(from, inventory)
	if shouldReply {
		j.swarm.SendInventory(from, reply)
	}
	j.signal()
}

// recordInventory records another agent's inventory. It returns the reply, and whether one is due.
func (j *job) recordInventory(from railmember.Member, inventory *railproto.Inventory) (reply *railproto.Inventory, shouldReply bool) {
	now := time.Now()
	outside := from.Region != j.swarm.Self.Region
	held := decodeBitmap(inventory.GetHeld())
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.gossip.senders == nil {
		j.gossip.senders, j.gossip.lastReceived = map[string]railmember.Member{}, map[string]time.Time{}
	}
	j.gossip.senders[from.Name] = from
	j.gossip.lastReceived[from.Region] = now
	j.picker.UpdatePeer(railpicker.PeerReport{
		Name: from.Name, OtherRegion: outside, OtherZone: from.Zone != j.swarm.Self.Zone, Neighbour: !outside && j.isNeighbour(from.Name),
		Relay: from.IsEntry(),
		Held:  held, Importing: decodeBitmap(inventory.GetImporting()),
	}, now)
	interval := replyInterval
	if outside {
		interval = outsideReplyInterval
	}
	ownHeld := j.picker.Held()
	shouldReply = ownHeld.DifferenceCardinality(held) > 0 && now.Sub(j.gossip.lastSent[from.Name]) > interval
	if shouldReply {
		j.recordSend(from, now)
	}
	return j.inventory(), shouldReply
}

// sendInventories sends an inventory to the region if one is due, and to other regions, whose agents reply with theirs.
func (j *job) sendInventories() {
	targets, inventory := j.dueInventories(time.Now())
	for _, m := range targets {
		j.swarm.SendInventory(m, inventory)
	}
}

// dueInventories returns the members to which an inventory is due, which is recorded as sent, and the inventory.
func (j *job) dueInventories(now time.Time) (targets []railmember.Member, inventory *railproto.Inventory) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.regionSendDue(now) {
		targets = j.regionTargets(now)
	}
	if j.picker.Missing() > 0 && !j.picker.FromOrigin && now.Sub(j.gossip.lastOutsideSend) >= outsideSendInterval {
		j.gossip.lastOutsideSend = now
		targets = append(targets, j.outsideTargets(now)...)
	}
	for _, m := range targets {
		j.recordSend(m, now)
	}
	return targets, j.inventory()
}

// regionSendDue reports whether an inventory to the region is due, and if so records it as sent.
func (j *job) regionSendDue(now time.Time) bool {
	g := &j.gossip
	held, importing := j.picker.Held(), j.picker.Importing()
	changed := g.sentHeld == nil || !held.Equal(g.sentHeld) || !importing.Equal(g.sentImporting)
	elapsed := now.Sub(g.lastNeighbourSend)
	interval := sendInterval + time.Duration(min(j.picker.RegionPeers, fullMeshSize))*sendIntervalPerAgent
	if j.picker.Missing() > 0 && (elapsed < interval || !changed && elapsed < resendInterval) {
		return false
	}
	g.lastNeighbourSend, g.sentHeld, g.sentImporting = now, held, importing
	return true
}

// outsideTargets returns a few random agents of the upstream region, or of all other regions when that one is silent.
func (j *job) outsideTargets(now time.Time) []railmember.Member {
	chain := j.regionChain()
	upstream := chain[max(slices.Index(chain, j.swarm.Self.Region)-1, 0)]
	candidates := filterRegion(j.members, upstream)
	if len(candidates) == 0 || now.Sub(j.gossip.startTime) > regionSilenceTimeout && now.Sub(j.gossip.lastReceived[upstream]) > regionSilenceTimeout {
		candidates = slices.DeleteFunc(slices.Clone(j.members), func(m railmember.Member) bool { return m.Region == j.swarm.Self.Region })
	}
	candidates = slices.Clone(candidates)
	if relays := filterRelays(candidates); len(relays) > 0 && now.Sub(j.gossip.lastReceived[upstream]) < regionSilenceTimeout {
		candidates = relays
	}
	j.picker.Random.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	return candidates[:min(outsideFanout, len(candidates))]
}

// notifyNextRegion sends an inventory to the agent that is first to import a chunk into the next region of the chain.
func (j *job) notifyNextRegion(chunk int) {
	j.mu.Lock()
	chain := j.regionChain()
	next := slices.Index(chain, j.swarm.Self.Region) + 1
	if next >= len(chain) {
		j.mu.Unlock()
		return
	}
	importer := j.importOrder(chunk, chain[next])[0]
	inventory := j.inventory()
	j.mu.Unlock()
	j.swarm.SendInventory(importer, inventory)
}

// regionTargets returns the agents of the region that receive the next inventory: usually the neighbours, but all agents
// once per regionWideSendInterval and when no chunk is missing.
func (j *job) regionTargets(now time.Time) []railmember.Member {
	all := j.withoutSelf(filterRegion(j.members, j.swarm.Self.Region))
	if now.Sub(j.gossip.lastRegionWideSend) >= regionWideSendInterval || j.picker.Missing() == 0 {
		j.gossip.lastRegionWideSend = now
		return all
	}
	return slices.DeleteFunc(all, func(m railmember.Member) bool { return !j.isNeighbour(m.Name) })
}

// isNeighbour reports whether an agent of the region is a neighbour. Agents that are not in the list yet count as neighbours.
func (j *job) isNeighbour(name string) bool {
	neighbour, listed := j.neighbours[name]
	return neighbour || !listed
}

// computeNeighbours reports for each agent of the region whether it is a neighbour of this one. Neighbours are the agents at
// a distance of a power of two on a ring, so that a chunk reaches any agent in a few hops; a relay is everyone's neighbour.
func (j *job) computeNeighbours() map[string]bool {
	ring := byName.Top(j.digest, filterRegion(j.members, j.swarm.Self.Region), len(j.members))
	self := slices.IndexFunc(ring, func(m railmember.Member) bool { return m.Name == j.swarm.Self.Name })
	neighbours := map[string]bool{}
	for i, m := range ring {
		distance := (i - self + len(ring)) % len(ring)
		isNeighbour := isPowerOfTwo(distance) || isPowerOfTwo(len(ring)-distance) || m.IsEntry() || j.swarm.Self.IsEntry()
		neighbours[m.Name] = len(ring) <= fullMeshSize || isNeighbour
	}
	return neighbours
}

func isPowerOfTwo(n int) bool {
	return n > 0 && n&(n-1) == 0
}

// withoutSelf returns the agents other than this one.
func (j *job) withoutSelf(agents []railmember.Member) []railmember.Member {
	return slices.DeleteFunc(agents, func(m railmember.Member) bool { return m.Name == j.swarm.Self.Name })
}

func (j *job) recordSend(m railmember.Member, now time.Time) {
	if j.gossip.lastSent == nil {
		j.gossip.lastSent = map[string]time.Time{}
	}
	j.gossip.lastSent[m.Name] = now
}

func (j *job) inventory() *railproto.Inventory {
	self := j.swarm.Self
	return &railproto.Inventory{
		Agent: self.Name, Zone: self.Zone, Region: self.Region, Manifest: j.key,
		Held: encodeBitmap(j.picker.Held(), len(j.manifest.Chunks)), Importing: encodeBitmap(j.picker.Importing(), len(j.manifest.Chunks)),
		Relay: self.IsEntry(),
	}
}

// encodeBitmap returns a set of chunks as the bitmap of an inventory, the lowest bit of the first byte being chunk 0.
func encodeBitmap(set *bitset.BitSet, chunks int) []byte {
	data := make([]byte, (chunks+bitsPerByte-1)/bitsPerByte)
	for i, ok := set.NextSet(0); ok; i, ok = set.NextSet(i + 1) {
		data[i/bitsPerByte] |= 1 << (i % bitsPerByte)
	}
	return data
}

func decodeBitmap(data []byte) *bitset.BitSet {
	set := bitset.New(uint(len(data) * bitsPerByte))
	for i := range uint(len(data) * bitsPerByte) {
		if data[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0 {
			set.Set(i)
		}
	}
	return set
}
