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
	// tellPause and tellPausePerAgent are the time between two tellings of what has changed, which grows with the agents that
	// are told; tellAgain is that time when nothing has.
	tellPause         = 40 * time.Millisecond
	tellPausePerAgent = 4 * time.Millisecond
	tellAgain         = 200 * time.Millisecond
	// tellAll is the time between two tellings to all agents of the region, and allNeighbours the number of a region's agents up
	// to which each is a neighbour of all others.
	tellAll       = 400 * time.Millisecond
	allNeighbours = 12
	// askOutsidePause is the time between two questions to the region before in the chain, and askOutside the number of its
	// agents that are asked each time.
	askOutsidePause = 200 * time.Millisecond
	askOutside      = 2
	// answerPause and answerOutsidePause are the times between two answers to the same agent of the region and of another.
	answerPause        = 150 * time.Millisecond
	answerOutsidePause = 90 * time.Millisecond
	// silentRegion is the time without a word from the region before in the chain after which agents of all regions are asked.
	silentRegion = 600 * time.Millisecond
	bitsPerByte  = 8
)

// talk is what an agent knows of its talk with others about one manifest.
type talk struct {
	// told is when each agent was last told what is held here.
	told map[string]time.Time
	// regionTold, allTold and outsideAsked are when the neighbours and all of the region were last told, and other regions asked.
	regionTold, outsideAsked, allTold time.Time
	// heldThen and importingThen are what the region was told last.
	heldThen, importingThen *bitset.BitSet
	// heard holds the agents that told something, which the list may not show yet.
	heard map[string]railmember.Member
	// outsideHeard is when an agent of each region was last heard.
	outsideHeard map[string]time.Time
	began        time.Time
}

// hear takes over what another agent tells, and answers it when it lacks something that is here.
func (j *job) hear(from railmember.Member, inventory *railproto.Inventory) {
	now := time.Now()
	outside := from.Region != j.swarm.Self.Region
	held := decode(inventory.GetHeld())
	j.mu.Lock()
	if j.talk.heard == nil {
		j.talk.heard, j.talk.outsideHeard = map[string]railmember.Member{}, map[string]time.Time{}
	}
	j.talk.heard[from.Name] = from
	j.talk.outsideHeard[from.Region] = now
	j.picker.UpdatePeer(railpicker.PeerReport{
		Name: from.Name, OtherRegion: outside, OtherZone: from.Zone != j.swarm.Self.Zone, Neighbour: !outside && j.isNeighbour(from.Name),
		Relay: from.IsEntry(),
		Held:  held, Importing: decode(inventory.GetImporting()),
	}, now)
	pause := answerPause
	if outside {
		pause = answerOutsidePause
	}
	mine := j.picker.Held()
	answer := mine.DifferenceCardinality(held) > 0 && now.Sub(j.talk.told[from.Name]) > pause
	if answer {
		j.noteTold(from, now)
	}
	reply := j.inventory()
	j.mu.Unlock()
	if answer {
		j.swarm.SendInventory(from, reply)
	}
	j.signal()
}

// tell tells the region what has changed here, and asks other regions what they hold.
func (j *job) tell() {
	now := time.Now()
	j.mu.Lock()
	var to []railmember.Member
	if j.tellsRegion(now) {
		to = j.told(now)
	}
	if j.picker.Missing() > 0 && !j.picker.FromOrigin && now.Sub(j.talk.outsideAsked) >= askOutsidePause {
		j.talk.outsideAsked = now
		to = append(to, j.outside(now)...)
	}
	for _, m := range to {
		j.noteTold(m, now)
	}
	inventory := j.inventory()
	j.mu.Unlock()
	for _, m := range to {
		j.swarm.SendInventory(m, inventory)
	}
}

// tellsRegion reports whether it is time to tell the region what is here, which then counts as told.
func (j *job) tellsRegion(now time.Time) bool {
	t := &j.talk
	held, importing := j.picker.Held(), j.picker.Importing()
	changed := t.heldThen == nil || !held.Equal(t.heldThen) || !importing.Equal(t.importingThen)
	since := now.Sub(t.regionTold)
	pause := tellPause + time.Duration(min(j.picker.RegionPeers, allNeighbours))*tellPausePerAgent
	if j.picker.Missing() > 0 && (since < pause || !changed && since < tellAgain) {
		return false
	}
	t.regionTold, t.heldThen, t.importingThen = now, held, importing
	return true
}

// outside returns some agents of the region before in the chain, or of all others when that is silent.
func (j *job) outside(now time.Time) []railmember.Member {
	chain := j.chain()
	before := chain[max(slices.Index(chain, j.swarm.Self.Region)-1, 0)]
	candidates := inRegion(j.members, before)
	if len(candidates) == 0 || now.Sub(j.talk.began) > silentRegion && now.Sub(j.talk.outsideHeard[before]) > silentRegion {
		candidates = slices.DeleteFunc(slices.Clone(j.members), func(m railmember.Member) bool { return m.Region == j.swarm.Self.Region })
	}
	candidates = slices.Clone(candidates)
	if fast := relays(candidates); len(fast) > 0 && now.Sub(j.talk.outsideHeard[before]) < silentRegion {
		candidates = fast
	}
	j.picker.Random.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	return candidates[:min(askOutside, len(candidates))]
}

// passOn tells the agent that is the first to import a chunk into the next region of the chain that it is here.
func (j *job) passOn(chunk int) {
	j.mu.Lock()
	chain := j.chain()
	next := slices.Index(chain, j.swarm.Self.Region) + 1
	if next >= len(chain) {
		j.mu.Unlock()
		return
	}
	first := j.order(chunk, chain[next])[0]
	inventory := j.inventory()
	j.mu.Unlock()
	j.swarm.SendInventory(first, inventory)
}

// told returns the agents of the region that are to be told what is here: the neighbours each time, and all from time to time.
func (j *job) told(now time.Time) []railmember.Member {
	all := j.others(inRegion(j.members, j.swarm.Self.Region))
	if now.Sub(j.talk.allTold) >= tellAll || j.picker.Missing() == 0 {
		j.talk.allTold = now
		return all
	}
	return slices.DeleteFunc(all, func(m railmember.Member) bool { return !j.isNeighbour(m.Name) })
}

// isNeighbour reports whether an agent of the region is a neighbour; those that the list does not show yet are.
func (j *job) isNeighbour(name string) bool {
	neighbour, listed := j.neighbours[name]
	return neighbour || !listed
}

// neighbourhood returns for each other agent of the region whether it is a neighbour of this one: those that stand at powers of
// two before or after it on a ring, so that a chunk comes from any agent to any other in a few steps.
func (j *job) neighbourhood() map[string]bool {
	ring := byName.Top(j.digest, inRegion(j.members, j.swarm.Self.Region), len(j.members))
	self := slices.IndexFunc(ring, func(m railmember.Member) bool { return m.Name == j.swarm.Self.Name })
	neighbours := map[string]bool{}
	for at, m := range ring {
		distance := (at - self + len(ring)) % len(ring)
		near := isPowerOfTwo(distance) || isPowerOfTwo(len(ring)-distance) || m.IsEntry() || j.swarm.Self.IsEntry()
		neighbours[m.Name] = len(ring) <= allNeighbours || near
	}
	return neighbours
}

func isPowerOfTwo(n int) bool {
	return n > 0 && n&(n-1) == 0
}

// others returns agents without this one.
func (j *job) others(agents []railmember.Member) []railmember.Member {
	return slices.DeleteFunc(agents, func(m railmember.Member) bool { return m.Name == j.swarm.Self.Name })
}

func (j *job) noteTold(m railmember.Member, now time.Time) {
	if j.talk.told == nil {
		j.talk.told = map[string]time.Time{}
	}
	j.talk.told[m.Name] = now
}

func (j *job) inventory() *railproto.Inventory {
	self := j.swarm.Self
	return &railproto.Inventory{
		Agent: self.Name, Zone: self.Zone, Region: self.Region, Manifest: j.key,
		Held: encode(j.picker.Held(), len(j.manifest.Chunks)), Importing: encode(j.picker.Importing(), len(j.manifest.Chunks)),
		Relay: self.IsEntry(),
	}
}

// encode returns a set of chunks as it stands in a datagram.
func encode(set *bitset.BitSet, chunks int) []byte {
	data := make([]byte, (chunks+bitsPerByte-1)/bitsPerByte)
	for i, ok := set.NextSet(0); ok; i, ok = set.NextSet(i + 1) {
		data[i/bitsPerByte] |= 1 << (i % bitsPerByte)
	}
	return data
}

func decode(data []byte) *bitset.BitSet {
	set := bitset.New(uint(len(data) * bitsPerByte))
	for i := range uint(len(data) * bitsPerByte) {
		if data[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0 {
			set.Set(i)
		}
	}
	return set
}
