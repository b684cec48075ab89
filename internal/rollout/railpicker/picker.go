package railpicker

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/bits-and-blooms/bitset"
)

const (
	// leastDepth and mostDepth bound the chunks that are asked for at once in the region.
	leastDepth, mostDepth = 3, 12
	// startDepth is that number before anything has come.
	startDepth = 8
	// queueTime is the time that a chunk may take: as many are asked for as come in this time.
	queueTime = 300 * time.Millisecond
	// rateWindow is the time over which arrivals are counted.
	rateWindow = 500 * time.Millisecond
	// flightLimit is the time after which a request does not count as one that is likely to be answered.
	flightLimit = time.Second
	// repeatAfter and repeatFactor say when a chunk that is on its way is asked for elsewhere as well, once nothing else is
	// left to ask for: after that time and that many times the usual one.
	repeatAfter  = 150 * time.Millisecond
	repeatFactor = 3
	// aloneAfter is the time without any chunk after which others than the neighbours are asked.
	aloneAfter = 250 * time.Millisecond
	// repeatsAtOnce is the number of holders that one chunk is asked for at the same time.
	repeatsAtOnce = 2
	// feeders is the number of a region's agents that take each chunk from a slow relay.
	feeders = 2
)

// Picker is not safe for concurrent use; its fields are set before its first use.
type Picker struct {
	// Chunks is the number of the manifest's chunks.
	Chunks int
	// Began is when the fetching began.
	Began time.Time
	// Random breaks ties between chunks that are equally rare.
	Random *rand.Rand
	// Rank returns this agent's place in the order in which the region's agents import a chunk; 0 is the first.
	Rank func(chunk int) int
	// Relay says that this is a relay, to which the agents leave imports as long as it gets on.
	Relay bool
	// Draws says that the region's agents import from the origin, Others is the number of the region's other agents, relays
	// included, and Relays that of its relays, this one included.
	Draws          bool
	Others, Relays int

	held    bitset.BitSet
	holders map[string]*holder
	// ordered holds the holders by their names, so that the order of picks repeats.
	ordered  []*holder
	flights  map[int][]flight
	arrivals []time.Time
	// last is when a chunk came here last, and usual the time that a chunk takes from anywhere.
	last  time.Time
	usual time.Duration
	// offered is when each chunk was first known to be held outside the region, but not in it.
	offered map[int]time.Time
	// lonely is when each chunk was first known to be held by a single agent of the region.
	lonely map[int]time.Time
	// originAfter is the time before which the origin is not asked again.
	originAfter time.Time
}

// Origin stands in a pick for the origin in place of a holder's name.
const Origin = ""

// Pick is one chunk to take from one holder or from the origin.
type Pick struct {
	Chunk int
	From  string
}

// Outcome says how a pick ended.
type Outcome uint8

const (
	// Came means that the chunk came, sound and whole.
	Came Outcome = iota
	// Failed means that the holder did not give it.
	Failed
	// Corrupt means that the holder gave something else.
	Corrupt
)

// circle is a part of the other agents.
type circle uint8

const (
	neighbours circle = iota
	region
	outside
)

type flight struct {
	from     string
	began    time.Time
	imported bool
}

// Hear takes over what another agent tells of itself.
func (p *Picker) Hear(word Word, now time.Time) {
	if p.holders == nil {
		p.holders = map[string]*holder{}
	}
	h := p.holders[word.Name]
	if h == nil {
		h = &holder{name: word.Name, progressed: now}
		p.holders[word.Name] = h
		at, _ := slices.BinarySearchFunc(p.ordered, h, func(a, b *holder) int { return strings.Compare(a.name, b.name) })
		p.ordered = slices.Insert(p.ordered, at, h)
	}
	h.hear(word, now)
}

// Hold notes that a chunk is here, from wherever it came.
func (p *Picker) Hold(chunk int, now time.Time) {
	if !p.Has(chunk) {
		p.held.Set(uint(chunk))
		p.arrivals = append(p.arrivals, now)
		p.last = now
	}
}

// Held returns a copy of the set of chunks that are here.
func (p *Picker) Held() *bitset.BitSet {
	return p.held.Clone()
}

// Has reports whether a chunk is here.
func (p *Picker) Has(chunk int) bool {
	return p.held.Test(uint(chunk))
}

// Importing returns the set of chunks that this agent is bringing into its region.
func (p *Picker) Importing() *bitset.BitSet {
	set := bitset.New(uint(p.Chunks))
	for chunk := range p.flights {
		if p.importing(chunk) {
			set.Set(uint(chunk))
		}
	}
	return set
}

// Missing returns the number of chunks that are not here yet.
func (p *Picker) Missing() int {
	return p.Chunks - int(p.held.Count())
}

// Latest returns the time at which a chunk came last, or that of the beginning.
func (p *Picker) Latest() time.Time {
	if p.last.After(p.Began) {
		return p.last
	}
	return p.Began
}

// Heard returns the number of the region's other agents that have told what they hold.
func (p *Picker) Heard() int {
	n := 0
	for _, h := range p.ordered {
		if !h.outside {
			n++
		}
	}
	return n
}

// Outside reports whether any agent of another region has told something lately.
func (p *Picker) Outside(now time.Time) bool {
	for _, h := range p.ordered {
		if h.outside && now.Sub(h.heard) < goneAfter {
			return true
		}
	}
	return false
}
