package railpicker

import (
	"slices"
	"time"
)

const (
	// settle is the time in which the region's agents tell what they hold before anything is imported.
	settle = 100 * time.Millisecond
	// importsAtOnce is the number of chunks that an agent imports from other regions at once, drawsAtOnce that of chunks drawn
	// from the origin, and manyAgents the number of agents from which on one draw by each fills the origin's link.
	importsAtOnce = 3
	drawsAtOnce   = 2
	manyAgents    = 4
	// helpAfter is the time for which a chunk may be had outside the region before the second agent in its order imports it, and
	// helpStep what each further one waits longer.
	helpAfter = 400 * time.Millisecond
	helpStep  = 50 * time.Millisecond
	// lonelyAfter is the time for which a single agent of the region holds a chunk before it is imported again: that agent's
	// link may be so slow that the chunk does not get on.
	lonelyAfter = 400 * time.Millisecond
	// claimFor is the time for which an agent's word that it imports a chunk keeps others from doing so.
	claimFor = 600 * time.Millisecond
	// relayHelpAfter is that time among relays, and relayIdle the time without progress of a region's relays after which its agents
	// help.
	relayHelpAfter = 120 * time.Millisecond
	relayIdle      = 700 * time.Millisecond
	// originPause is the time between two attempts at an origin that fails, and helperPause that of an agent which relays go before.
	originPause = 80 * time.Millisecond
	helperPause = time.Second
)

// nextImport returns a chunk that this agent is to bring into its region. Those come first for which this agent is the first
// in their order; when it has no such chunk, it helps the others, with those first for which the fewest go before it.
func (p *Picker) nextImport(now time.Time) (Pick, bool) {
	switch {
	case p.leavesToRelays(now), p.imports() >= p.window():
		return Pick{}, false
	case now.Sub(p.Began) < settle && p.Heard() < p.Others, p.Draws && now.Before(p.originAfter):
		return Pick{}, false
	}
	help := lot{random: p.Random}
	for chunk := range p.Chunks {
		from, ok := p.supplier(chunk, now)
		if !ok {
			continue
		}
		rank := p.Rank(chunk)
		if rank == 0 {
			return Pick{Chunk: chunk, From: from}, true
		}
		if p.helps(chunk, rank, now) {
			help.add(Pick{Chunk: chunk, From: from}, rank)
		}
	}
	return help.drawn()
}

// leavesToRelays reports whether this agent imports nothing, since the region's relays get on.
func (p *Picker) leavesToRelays(now time.Time) bool {
	return !p.Relay && p.Relays > 0 && now.Sub(p.relayed()) < relayIdle
}

// helps reports whether this agent is to import a chunk for which others go first.
func (p *Picker) helps(chunk, rank int, now time.Time) bool {
	waited, patience := now.Sub(p.offered[chunk]), helpAfter+time.Duration(rank)*helpStep
	switch {
	case p.Relay && rank < p.Relays:
		return waited >= relayHelpAfter
	case !p.Relay && p.Relays > 0:
		waited, patience = now.Sub(p.relayed())-relayIdle, time.Duration(rank-p.Relays)*helpStep
	}
	return waited >= patience
}

// relayed returns when the region's relays last got a chunk, or when the fetching began.
func (p *Picker) relayed() time.Time {
	last := p.Began
	for _, h := range p.ordered {
		if h.relay && !h.outside && h.progressed.After(last) {
			last = h.progressed
		}
	}
	return last
}

// supplier returns from whom a chunk may be imported that nobody of the region has or is importing.
func (p *Picker) supplier(chunk int, now time.Time) (string, bool) {
	if p.Has(chunk) || p.importing(chunk) || p.inRegion(chunk, now) {
		delete(p.offered, chunk)
		return "", false
	}
	from, count := Origin, 1
	if !p.Draws {
		from, count = p.offers(chunk, outside, now)
	}
	if p.offered == nil {
		p.offered = map[int]time.Time{}
	}
	if _, known := p.offered[chunk]; !known && count > 0 {
		p.offered[chunk] = now
	}
	return from, p.Draws || from != ""
}

// inRegion reports whether other agents of the region hold a chunk or are about to.
func (p *Picker) inRegion(chunk int, now time.Time) bool {
	count := 0
	for _, h := range p.ordered {
		if h.outside {
			continue
		}
		if h.claims(chunk, now) {
			return true
		}
		if h.offers(chunk, now) {
			count++
			if h.relay {
				count++ // Its link gives the chunk to all at once.
			}
		}
	}
	if count != 1 {
		delete(p.lonely, chunk)
		return count > 0
	}
	if p.lonely == nil {
		p.lonely = map[int]time.Time{}
	}
	if _, known := p.lonely[chunk]; !known {
		p.lonely[chunk] = now
	}
	return now.Sub(p.lonely[chunk]) < lonelyAfter
}

// importing reports whether this agent is importing a chunk.
func (p *Picker) importing(chunk int) bool {
	return slices.ContainsFunc(p.flights[chunk], func(f flight) bool { return f.imported })
}

// imports returns the number of chunks that this agent is importing.
func (p *Picker) imports() int {
	n := 0
	for _, flights := range p.flights {
		for _, f := range flights {
			if f.imported {
				n++
			}
		}
	}
	return n
}

// window returns the number of chunks that this agent may import at once.
func (p *Picker) window() int {
	switch {
	case !p.Draws:
		return importsAtOnce
	case p.importers() >= manyAgents, !p.Relay && p.Relays > 0:
		return 1
	}
	return drawsAtOnce
}

// importers returns the number of the region's agents that import as long as all goes well.
func (p *Picker) importers() int {
	if p.Relays > 0 {
		return p.Relays
	}
	return p.Others + 1
}
