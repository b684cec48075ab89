package railpicker

import (
	"slices"
	"time"
)

// Next returns the next chunk to request and its source, or false when nothing is to be requested now. The pick counts as in
// flight until Finish is called for it.
func (p *Picker) Next(now time.Time) (Pick, bool) {
	pick, ok := p.nextImport(now)
	isImport := ok
	if !ok && p.pendingRequests(now) < p.pipelineDepth(now) {
		if pick, ok = p.rarest(now, neighboursOnly); !ok {
			pick, ok = p.nextDuplicate(now)
		}
		if !ok && p.starved(now) {
			pick, ok = p.rarest(now, ownRegion)
		}
	}
	if !ok {
		return Pick{}, false
	}
	if p.requests == nil {
		p.requests = map[int][]request{}
	}
	p.requests[pick.Chunk] = append(p.requests[pick.Chunk], request{from: pick.From, startTime: now, isImport: isImport})
	if peer := p.peers[pick.From]; peer != nil {
		peer.startRequest(pick.Chunk, now)
	}
	return pick, true
}

// Finish records the outcome of a pick and reports whether the pick imported a chunk into the region.
func (p *Picker) Finish(pick Pick, outcome Outcome, now time.Time) bool {
	r, took := p.removeRequest(pick, now)
	if outcome == Received {
		p.MarkHeld(pick.Chunk, now)
		p.chunkTimes.add(took)
	}
	switch peer := p.peers[pick.From]; {
	case peer != nil:
		peer.endRequest(pick.Chunk, outcome, took, now)
	case outcome != Received:
		p.originRetryTime = now.Add(originRetryDelay)
		if !p.Relay && p.RegionRelays > 0 {
			p.originRetryTime = now.Add(nonRelayOriginRetryDelay)
		}
	}
	return r.isImport && outcome == Received
}

// removeRequest removes a pick's request and returns it with the time that it took, or zero values when there is none.
func (p *Picker) removeRequest(pick Pick, now time.Time) (request, time.Duration) {
	requests := p.requests[pick.Chunk]
	i := slices.IndexFunc(requests, func(r request) bool { return r.from == pick.From })
	if i < 0 {
		return request{}, 0
	}
	r := requests[i]
	if requests = slices.Delete(requests, i, i+1); len(requests) == 0 {
		delete(p.requests, pick.Chunk)
	} else {
		p.requests[pick.Chunk] = requests
	}
	return r, now.Sub(r.startTime)
}

// starved reports whether no chunk has arrived for starvationTimeout.
func (p *Picker) starved(now time.Time) bool {
	return now.Sub(p.LastProgress()) > starvationTimeout
}

// rarest returns a missing chunk that the fewest agents in scope hold and that one of them can serve now.
func (p *Picker) rarest(now time.Time, scope peerScope) (Pick, bool) {
	sampler := minSampler{random: p.Random}
	for chunk := range p.Chunks {
		if p.Has(chunk) || len(p.requests[chunk]) > 0 {
			continue
		}
		if from, holders := p.bestSource(chunk, scope, now); from != "" {
			sampler.add(Pick{Chunk: chunk, From: from}, holders)
		}
	}
	return sampler.result()
}

// bestSource returns the agent in scope that can serve a chunk soonest, or an empty name when none can now, and the number
// of agents in scope that hold it.
func (p *Picker) bestSource(chunk int, scope peerScope, now time.Time) (from string, holders int) {
	var best *peerState
	for _, peer := range p.sortedPeers {
		if !peer.inScope(scope) || !peer.canServe(chunk, now) {
			continue
		}
		holders++
		if peer.busy(now) || now.Before(peer.backoffUntil) || peer.overloaded() && !p.usesOverloadedRelay(chunk, now) {
			continue
		}
		if best == nil || peer.preferredTo(best, p.chunkTimes.median) {
			from, best = peer.name, peer
		}
	}
	return from, holders
}

// usesOverloadedRelay reports whether this agent may request a chunk from an overloaded relay. Only relays, the first few
// agents in the chunk's import order and starved agents may; the others get the chunk from them.
func (p *Picker) usesOverloadedRelay(chunk int, now time.Time) bool {
	return p.Relay || p.ImportRank(chunk) < p.RegionRelays+overloadedRelayClients || p.starved(now)
}

// nextDuplicate returns a second pick for the chunk that has been in flight for longest, if that is much longer than usual.
func (p *Picker) nextDuplicate(now time.Time) (Pick, bool) {
	var best Pick
	var oldest time.Time
	minAge := max(duplicateDelay, duplicateFactor*p.chunkTimes.median)
	for chunk := range p.Chunks {
		requests := p.requests[chunk]
		if len(requests) == 0 || len(requests) >= maxRequestsPerChunk || p.Has(chunk) {
			continue
		}
		first := requests[0]
		if now.Sub(first.startTime) < minAge || !oldest.IsZero() && !first.startTime.Before(oldest) {
			continue
		}
		from, _ := p.bestSource(chunk, ownRegion, now)
		if from == "" && first.isImport {
			from, _ = p.bestSource(chunk, otherRegions, now)
		}
		if from != "" {
			best, oldest = Pick{Chunk: chunk, From: from}, first.startTime
		}
	}
	return best, !oldest.IsZero()
}

// pendingRequests returns the number of requests within the region that are likely to be answered soon.
func (p *Picker) pendingRequests(now time.Time) int {
	n := 0
	for _, requests := range p.requests {
		for _, r := range requests {
			if !r.isImport && now.Sub(r.startTime) < staleRequestAge {
				n++
			}
		}
	}
	return n
}

// pipelineDepth returns the number of chunks to request at once within the region. It follows the arrival rate, so that an
// agent on a slow link does not occupy the upload slots of others.
func (p *Picker) pipelineDepth(now time.Time) int {
	p.expireArrivals(now)
	if p.held.None() || len(p.requests) == 0 {
		return initialDepth
	}
	return min(max(minDepth, 1+int(targetQueueTime*time.Duration(len(p.arrivals))/arrivalWindow)), maxDepth)
}

// expireArrivals drops the arrivals that are older than arrivalWindow.
func (p *Picker) expireArrivals(now time.Time) {
	expired := 0
	for expired < len(p.arrivals) && now.Sub(p.arrivals[expired]) > arrivalWindow {
		expired++
	}
	p.arrivals = p.arrivals[expired:]
}
