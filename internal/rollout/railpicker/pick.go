package railpicker

import (
	"slices"
	"time"
)

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
		if !p.Relay && p.Relays > 0 {
			p.originAfter = now.Add(helperPause)
		}
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
	best := lot{random: p.Random}
	for chunk := range p.Chunks {
		if p.Has(chunk) || len(p.flights[chunk]) > 0 {
			continue
		}
		if from, count := p.offers(chunk, asked, now); from != "" {
			best.add(Pick{Chunk: chunk, From: from}, count)
		}
	}
	return best.drawn()
}

// offers returns the free holder among those asked from which a chunk comes soonest, or an empty name, and the number of all its
// holders there.
func (p *Picker) offers(chunk int, asked circle, now time.Time) (from string, count int) {
	var best *holder
	for _, h := range p.ordered {
		if !h.in(asked) || !h.offers(chunk, now) {
			continue
		}
		count++
		if h.busy(now) || now.Before(h.avoidUntil) || h.slow() && !p.feeds(chunk, now) {
			continue
		}
		if best == nil || h.before(best, p.usual) {
			from, best = h.name, h
		}
	}
	return from, count
}

// feeds reports whether this agent is one of the few that take a chunk from a slow relay and pass it on.
func (p *Picker) feeds(chunk int, now time.Time) bool {
	return p.Relay || p.Rank(chunk) < p.Relays+feeders || p.alone(now)
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
