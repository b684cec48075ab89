package railpicker

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/bits-and-blooms/bitset"
)

const (
	// minDepth and maxDepth bound the chunks that are requested at once within the region.
	minDepth, maxDepth = 3, 12
	// initialDepth is that number until a chunk has arrived, and while no request is in flight.
	initialDepth = 8
	// targetQueueTime is the time that a chunk may be in flight: as many chunks are requested as arrive in this time.
	targetQueueTime = 300 * time.Millisecond
	// arrivalWindow is the time over which the arrival rate is measured.
	arrivalWindow = 500 * time.Millisecond
	// staleRequestAge is the age beyond which a request is not expected to be answered soon.
	staleRequestAge = time.Second
	// Once nothing else is left to request, a chunk in flight is requested from a second source when its request is older than
	// both duplicateDelay and duplicateFactor times the median time of the latest chunks, which a few slow sources do not raise.
	duplicateDelay  = 150 * time.Millisecond
	duplicateFactor = 3
	// starvationTimeout is the time without an arrival after which agents other than the neighbours are asked.
	starvationTimeout = 250 * time.Millisecond
	// maxRequestsPerChunk bounds the sources that are asked for the same chunk at the same time.
	maxRequestsPerChunk = 2
	// overloadedRelayClients is the number of a region's agents, besides its relays, that request each chunk from an
	// overloaded relay.
	overloadedRelayClients = 2
)

// Picker selects the chunks of one manifest to request, and where to request them. It is not safe for concurrent use; its
// exported fields are set before its first use; FromOrigin, RegionPeers and RegionRelays may change between calls.
type Picker struct {
	// Chunks is the number of chunks in the manifest.
	Chunks int
	// StartTime is when the download began.
	StartTime time.Time
	// Random breaks ties between equally rare chunks.
	Random *rand.Rand
	// ImportRank returns this agent's position in the import order of a chunk, 0 being the first.
	ImportRank func(chunk int) int
	// Relay marks this agent as a relay. Other agents leave imports to the relays as long as these make progress.
	Relay bool
	// FromOrigin reports whether the region imports from the origin. RegionPeers is the number of the region's other agents,
	// relays included, and RegionRelays the number of its relays, this agent included.
	FromOrigin                bool
	RegionPeers, RegionRelays int

	held  bitset.BitSet
	peers map[string]*peerState
	// sortedPeers holds the peers ordered by name, which makes the order of picks deterministic.
	sortedPeers []*peerState
	requests    map[int][]request
	arrivals    []time.Time
	// lastArrival is when a chunk last arrived, and chunkTimes the times that the latest chunks took from any source.
	lastArrival time.Time
	chunkTimes  recentTimes
	// importableSince is when each chunk was first known to be available outside of the region but not in it.
	importableSince map[int]time.Time
	// singleCopySince is when each chunk was first known to be held by a single agent of the region.
	singleCopySince map[int]time.Time
	// originRetryTime is the time before which the origin is not asked again.
	originRetryTime time.Time
}

// Origin is the value of Pick.From that stands for the origin.
const Origin = ""

// Pick is a chunk to request from a peer or from the origin.
type Pick struct {
	Chunk int
	From  string
}

// Outcome is the result of a pick.
type Outcome uint8

const (
	// Received means that the chunk arrived and matches its digest.
	Received Outcome = iota
	// Failed means that the source did not deliver the chunk.
	Failed
	// Corrupt means that the source delivered data that does not match the digest.
	Corrupt
)

// peerScope is a subset of the other agents.
type peerScope uint8

const (
	neighboursOnly peerScope = iota
	ownRegion
	otherRegions
)

// request is a request for a chunk that is in flight.
type request struct {
	from      string
	startTime time.Time
	isImport  bool
}

// UpdatePeer records another agent's report.
func (p *Picker) UpdatePeer(report PeerReport, now time.Time) {
	if p.peers == nil {
		p.peers = map[string]*peerState{}
	}
	peer := p.peers[report.Name]
	if peer == nil {
		peer = &peerState{name: report.Name, lastProgress: now}
		p.peers[report.Name] = peer
		i, _ := slices.BinarySearchFunc(p.sortedPeers, peer, func(a, b *peerState) int { return strings.Compare(a.name, b.name) })
		p.sortedPeers = slices.Insert(p.sortedPeers, i, peer)
	}
	peer.update(report, now)
}

// MarkHeld records that this agent holds a chunk, whatever its source.
func (p *Picker) MarkHeld(chunk int, now time.Time) {
	if !p.Has(chunk) {
		p.held.Set(uint(chunk))
		p.arrivals = append(p.arrivals, now)
		p.lastArrival = now
	}
}

// Held returns a copy of the set of chunks that this agent holds.
func (p *Picker) Held() *bitset.BitSet {
	return p.held.Clone()
}

// Has reports whether this agent holds a chunk.
func (p *Picker) Has(chunk int) bool {
	return p.held.Test(uint(chunk))
}

// Importing returns the set of chunks that this agent is importing into its region.
func (p *Picker) Importing() *bitset.BitSet {
	set := bitset.New(uint(p.Chunks))
	for chunk := range p.requests {
		if p.isImporting(chunk) {
			set.Set(uint(chunk))
		}
	}
	return set
}

// Missing returns the number of chunks that this agent does not hold yet.
func (p *Picker) Missing() int {
	return p.Chunks - int(p.held.Count())
}

// LastProgress returns when a chunk last arrived, or the start time.
func (p *Picker) LastProgress() time.Time {
	if p.lastArrival.After(p.StartTime) {
		return p.lastArrival
	}
	return p.StartTime
}

// ReportingRegionPeers returns the number of the region's other agents that have sent a report.
func (p *Picker) ReportingRegionPeers() int {
	n := 0
	for _, peer := range p.sortedPeers {
		if !peer.otherRegion {
			n++
		}
	}
	return n
}

// OtherRegionsReachable reports whether an agent of another region has reported within peerTimeout.
func (p *Picker) OtherRegionsReachable(now time.Time) bool {
	for _, peer := range p.sortedPeers {
		if peer.otherRegion && now.Sub(peer.lastReport) < peerTimeout {
			return true
		}
	}
	return false
}
