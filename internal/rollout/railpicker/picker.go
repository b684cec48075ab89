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

// Next returns a chunk to ask for now, which counts as on its way until End, or false when there is none.
func (p *Picker) Next(now time.Time) (Pick, bool) {
	pick, ok := p.nextImport(now)
	imported := ok
	if !ok && p.waiting(now) < p.depth(now) {
		if pick, ok = p.rarest(now, neighbours); !ok {
			pick, ok = p.overdue(now)
		}
		if !ok && p.alone(now) {
			pick, ok = p.rarest(now, region)
		}
	}
	if !ok {
		return Pick{}, false
	}
	if p.flights == nil {
		p.flights = map[int][]flight{}
	}
	p.flights[pick.Chunk] = append(p.flights[pick.Chunk], flight{from: pick.From, began: now, imported: imported})
	if h := p.holders[pick.From]; h != nil {
		h.ask(pick.Chunk, now)
	}
	return pick, true
}

// End notes how a pick has ended, and reports whether it has brought a chunk into the region.
func (p *Picker) End(pick Pick, outcome Outcome, now time.Time) bool {
	f, took := p.land(pick, now)
	if outcome == Came {
		p.Hold(pick.Chunk, now)
		p.usual = smooth(p.usual, took)
	}
	switch h := p.holders[pick.From]; {
	case h != nil:
		h.end(pick.Chunk, outcome, took, now)
	case outcome != Came:
		p.originAfter = now.Add(originPause)
	}
	return f.imported && outcome == Came
}

// land takes a pick's flight out and returns it with the time that it took.
func (p *Picker) land(pick Pick, now time.Time) (flight, time.Duration) {
	flights := p.flights[pick.Chunk]
	at := slices.IndexFunc(flights, func(f flight) bool { return f.from == pick.From })
	if at < 0 {
		return flight{}, 0
	}
	f := flights[at]
	if flights = slices.Delete(flights, at, at+1); len(flights) == 0 {
		delete(p.flights, pick.Chunk)
	} else {
		p.flights[pick.Chunk] = flights
	}
	return f, now.Sub(f.began)
}

// alone reports whether the neighbours have had nothing to give for a while.
func (p *Picker) alone(now time.Time) bool {
	return now.Sub(p.Latest()) > aloneAfter
}

// rarest returns a chunk that the fewest of the agents asked hold and that a free one can give.
func (p *Picker) rarest(now time.Time, asked circle) (Pick, bool) {
	var best Pick
	fewest, ties := 0, 0
	for chunk := range p.Chunks {
		if p.Has(chunk) || len(p.flights[chunk]) > 0 {
			continue
		}
		from, count := p.offers(chunk, asked, now)
		switch {
		case from == "" || ties > 0 && count > fewest:
			continue
		case ties == 0 || count < fewest:
			best, fewest, ties = Pick{Chunk: chunk, From: from}, count, 1
			continue
		}
		ties++
		if p.Random.IntN(ties) == 0 {
			best = Pick{Chunk: chunk, From: from}
		}
	}
	return best, ties > 0
}

// offers returns the free holder among those asked from which a chunk comes soonest, a relay before all others, or an empty name,
// and the number of all its holders there.
func (p *Picker) offers(chunk int, asked circle, now time.Time) (from string, count int) {
	var best *holder
	for _, h := range p.ordered {
		if !h.in(asked) || !h.offers(chunk, now) {
			continue
		}
		count++
		if h.busy(now) || now.Before(h.avoidUntil) {
			continue
		}
		if best == nil || h.relay && !best.relay || h.relay == best.relay && h.cost(p.usual) < best.cost(p.usual) {
			from, best = h.name, h
		}
	}
	return from, count
}

// overdue returns the chunk that has been on its way for longest beyond what is usual, from another holder.
func (p *Picker) overdue(now time.Time) (Pick, bool) {
	var best Pick
	var oldest time.Time
	for chunk := range p.Chunks {
		flights := p.flights[chunk]
		if len(flights) == 0 || len(flights) >= repeatsAtOnce || p.Has(chunk) {
			continue
		}
		f := flights[0]
		if now.Sub(f.began) < max(repeatAfter, repeatFactor*p.usual) || !oldest.IsZero() && !f.began.Before(oldest) {
			continue
		}
		from, _ := p.offers(chunk, region, now)
		if from == "" && f.imported {
			from, _ = p.offers(chunk, outside, now)
		}
		if from != "" {
			best, oldest = Pick{Chunk: chunk, From: from}, f.began
		}
	}
	return best, !oldest.IsZero()
}

// waiting returns the number of requests in the region that are likely to be answered soon.
func (p *Picker) waiting(now time.Time) int {
	n := 0
	for _, flights := range p.flights {
		for _, f := range flights {
			if !f.imported && now.Sub(f.began) < flightLimit {
				n++
			}
		}
	}
	return n
}

// depth returns the number of chunks to ask for at once: an agent on a slow link must not take up the others' uploads.
func (p *Picker) depth(now time.Time) int {
	p.forget(now)
	if p.held.None() || len(p.flights) == 0 {
		return startDepth
	}
	return min(max(leastDepth, 1+int(queueTime*time.Duration(len(p.arrivals))/rateWindow)), mostDepth)
}

func (p *Picker) forget(now time.Time) {
	expired := 0
	for expired < len(p.arrivals) && now.Sub(p.arrivals[expired]) > rateWindow {
		expired++
	}
	p.arrivals = p.arrivals[expired:]
}
