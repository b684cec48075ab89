package railpicker

import (
	"slices"
	"time"
)

const (
	// discoveryPeriod is how long an agent waits for the reports of its region's agents before it imports anything.
	discoveryPeriod = 100 * time.Millisecond
	// maxImports bounds an agent's concurrent imports from other regions, and maxOriginImports those from the origin. Where
	// at least singleImportAgents agents import from the origin, one import by each fills the origin's link.
	maxImports         = 3
	maxOriginImports   = 2
	singleImportAgents = 4
	// backupDelay is how long a chunk can be available outside of the region before agents other than the first in its import
	// order import it too; each waits backupDelayStep longer than the one before it, the second backupDelay plus one step.
	backupDelay     = 400 * time.Millisecond
	backupDelayStep = 50 * time.Millisecond
	// singleCopyTimeout is how long a chunk may be held by a single agent of the region before it is imported again: that
	// agent's link may be too slow to pass it on.
	singleCopyTimeout = 400 * time.Millisecond
	// importClaimTTL is how long an agent's announcement of an import keeps others from importing the same chunk.
	importClaimTTL = 600 * time.Millisecond
	// relayBackupDelay takes the place of backupDelay among relays. When a region's relays make no progress for
	// relayIdleTimeout, its other agents import as well.
	relayBackupDelay = 120 * time.Millisecond
	relayIdleTimeout = 700 * time.Millisecond
	// originRetryDelay is the delay before an origin that failed is asked again, and nonRelayOriginRetryDelay that of an agent
	// that is no relay in a region that has relays.
	originRetryDelay         = 80 * time.Millisecond
	nonRelayOriginRetryDelay = time.Second
)

// nextImport returns a chunk that this agent is to import into its region. Chunks for which this agent comes first in the
// import order are preferred; otherwise it backs up another agent's overdue import, where its own rank is lowest.
func (p *Picker) nextImport(now time.Time) (Pick, bool) {
	switch {
	case p.defersToRelays(now), p.importCount() >= p.importLimit():
		return Pick{}, false
	case now.Sub(p.StartTime) < discoveryPeriod && p.ReportingRegionPeers() < p.RegionPeers, p.FromOrigin && now.Before(p.originRetryTime):
		return Pick{}, false
	}
	backups := minSampler{random: p.Random}
	for chunk := range p.Chunks {
		from, ok := p.importSource(chunk, now)
		if !ok {
			continue
		}
		rank := p.ImportRank(chunk)
		if rank == 0 {
			return Pick{Chunk: chunk, From: from}, true
		}
		if p.backupDue(chunk, rank, now) {
			backups.add(Pick{Chunk: chunk, From: from}, rank)
		}
	}
	return backups.result()
}

// defersToRelays reports whether this agent imports nothing because the region's relays are making progress.
func (p *Picker) defersToRelays(now time.Time) bool {
	return !p.Relay && p.RegionRelays > 0 && now.Sub(p.lastRelayProgress()) < relayIdleTimeout
}

// backupDue reports whether this agent is to import a chunk although it is not the first in the import order.
func (p *Picker) backupDue(chunk, rank int, now time.Time) bool {
	waited, delay := now.Sub(p.importableSince[chunk]), backupDelay+time.Duration(rank)*backupDelayStep
	switch {
	case p.Relay && rank < p.RegionRelays:
		return waited >= relayBackupDelay
	case !p.Relay && p.RegionRelays > 0:
		waited, delay = now.Sub(p.lastRelayProgress())-relayIdleTimeout, time.Duration(rank-p.RegionRelays)*backupDelayStep
	}
	return waited >= delay
}

// lastRelayProgress returns when a relay of the region last reported a new chunk, or the start time.
func (p *Picker) lastRelayProgress() time.Time {
	last := p.StartTime
	for _, peer := range p.sortedPeers {
		if peer.relay && !peer.otherRegion && peer.lastProgress.After(last) {
			last = peer.lastProgress
		}
	}
	return last
}

// importSource returns where a chunk can be imported from, or false when the region has it, is importing it, or no source
// offers it. It also records since when the chunk can be imported.
func (p *Picker) importSource(chunk int, now time.Time) (string, bool) {
	if p.Has(chunk) || p.isImporting(chunk) || p.availableInRegion(chunk, now) {
		delete(p.importableSince, chunk)
		return "", false
	}
	from, holders := Origin, 1
	if !p.FromOrigin {
		from, holders = p.bestSource(chunk, otherRegions, now)
	}
	if p.importableSince == nil {
		p.importableSince = map[int]time.Time{}
	}
	if _, known := p.importableSince[chunk]; !known && holders > 0 {
		p.importableSince[chunk] = now
	}
	return from, p.FromOrigin || from != ""
}

// availableInRegion reports whether other agents of the region hold a chunk or are importing it. A chunk with a single copy
// counts as available only until singleCopyTimeout.
func (p *Picker) availableInRegion(chunk int, now time.Time) bool {
	copies := 0
	for _, peer := range p.sortedPeers {
		if peer.otherRegion {
			continue
		}
		if peer.isImporting(chunk, now) {
			return true
		}
		if peer.canServe(chunk, now) {
			copies++
			if peer.relay {
				copies++ // One relay can serve the whole region, so it counts as two copies.
			}
		}
	}
	if copies != 1 {
		delete(p.singleCopySince, chunk)
		return copies > 0
	}
	if p.singleCopySince == nil {
		p.singleCopySince = map[int]time.Time{}
	}
	if _, known := p.singleCopySince[chunk]; !known {
		p.singleCopySince[chunk] = now
	}
	return now.Sub(p.singleCopySince[chunk]) < singleCopyTimeout
}

// isImporting reports whether this agent is importing a chunk.
func (p *Picker) isImporting(chunk int) bool {
	return slices.ContainsFunc(p.requests[chunk], func(r request) bool { return r.isImport })
}

// importCount returns the number of imports that this agent has in flight.
func (p *Picker) importCount() int {
	n := 0
	for _, requests := range p.requests {
		for _, r := range requests {
			if r.isImport {
				n++
			}
		}
	}
	return n
}

// importLimit returns the number of imports that this agent may have in flight.
func (p *Picker) importLimit() int {
	switch {
	case !p.FromOrigin:
		return maxImports
	case p.importerCount() >= singleImportAgents, !p.Relay && p.RegionRelays > 0:
		return 1
	}
	return maxOriginImports
}

// importerCount returns the number of the region's agents that import when nothing fails: its relays, or else all agents.
func (p *Picker) importerCount() int {
	if p.RegionRelays > 0 {
		return p.RegionRelays
	}
	return p.RegionPeers + 1
}
