package railpicker

import (
	"time"

	"github.com/bits-and-blooms/bitset"
)

const (
	// otherZoneFactor is the expected time of a chunk from another zone relative to one from this agent's zone.
	otherZoneFactor = 1.5
	// sampleWeight is the weight of the latest sample in a moving average.
	sampleWeight = 0.3
	// initialBackoff is how long a peer is not asked after a failed request; it doubles with each consecutive failure.
	initialBackoff      = 200 * time.Millisecond
	maxBackoffDoublings = 5
	// distrustPeriod is how long an agent that sent a corrupt chunk is ignored.
	distrustPeriod = 20 * time.Second
	// importSilenceTimeout is the time without a report after which an agent's announced imports are disregarded.
	importSilenceTimeout = 700 * time.Millisecond
	// peerTimeout is the time without a report after which no chunks are requested from an agent.
	peerTimeout = 1500 * time.Millisecond
	// initialRelayRequests bounds the requests in flight to a relay until it has delivered a chunk. After that, as many are in
	// flight as the relay is expected to deliver within relayQueueTime, but no more than maxRelayRequests.
	maxRelayRequests, initialRelayRequests = 8, 1
	relayQueueTime                         = 150 * time.Millisecond
	// overloadedRelayTime is the time per chunk above which a relay counts as overloaded. Only a few agents then request
	// each chunk from it, and pass it on to the others.
	overloadedRelayTime = 90 * time.Millisecond
	// stallTimeout is the age of an unanswered request beyond which nothing more is requested from that peer.
	stallTimeout = 400 * time.Millisecond
	// initialRelayTime is the expected time of a chunk from a relay that has not delivered one yet.
	initialRelayTime = 10 * time.Millisecond
)

// PeerReport is what another agent reports about itself.
type PeerReport struct {
	Name string
	// OtherRegion and OtherZone report whether the agent is in another region or zone. Neighbour marks an agent of this
	// region from which chunks are requested in preference to the region's others.
	OtherRegion, OtherZone, Neighbour bool
	// Relay marks an agent whose link can serve many agents at once.
	Relay bool
	// Held and Importing are the chunks that the agent holds and those that it is importing into its region.
	Held, Importing *bitset.BitSet
}

// peerState is the state of another agent as known to this one.
type peerState struct {
	name                   string
	held, importing        bitset.BitSet
	otherRegion, otherZone bool
	neighbour              bool
	relay                  bool
	// lastReport is when the agent last reported, and lastProgress when a report last listed more chunks than the one before.
	lastReport, lastProgress time.Time
	// importingSince is when the agent first reported each of its current imports.
	importingSince map[uint]time.Time
	// chunkTime is the moving average of the time that a chunk from the agent takes, queueing included, divided by the number of
	// requests in flight.
	chunkTime time.Duration
	// inFlight maps each chunk that is requested from the agent to the start of the request.
	inFlight map[int]time.Time
	// failures is the number of consecutive failed requests, up to maxBackoffDoublings.
	failures     int
	backoffUntil time.Time
	// distrustUntil is the time until which the agent's reports are ignored.
	distrustUntil time.Time
}

func (s *peerState) update(report PeerReport, now time.Time) {
	if report.Held.Count() > s.held.Count() {
		s.lastProgress = now
	}
	importingSince := map[uint]time.Time{}
	for chunk, ok := report.Importing.NextSet(0); ok; chunk, ok = report.Importing.NextSet(chunk + 1) {
		importingSince[chunk] = now
		if since, known := s.importingSince[chunk]; known {
			importingSince[chunk] = since
		}
	}
	s.held, s.importing, s.importingSince = *report.Held, *report.Importing, importingSince
	s.otherRegion, s.otherZone, s.neighbour, s.relay, s.lastReport = report.OtherRegion, report.OtherZone, report.Neighbour, report.Relay, now
}

// inScope reports whether the agent belongs to the given scope.
func (s *peerState) inScope(scope peerScope) bool {
	switch scope {
	case neighboursOnly:
		return !s.otherRegion && s.neighbour
	case ownRegion:
		return !s.otherRegion
	}
	return s.otherRegion
}

// canServe reports whether the agent holds a chunk, is alive and is trusted.
func (s *peerState) canServe(chunk int, now time.Time) bool {
	return s.held.Test(uint(chunk)) && now.Sub(s.lastReport) < peerTimeout && !now.Before(s.distrustUntil)
}

// isImporting reports whether the agent is importing a chunk into its region and is likely to finish soon.
func (s *peerState) isImporting(chunk int, now time.Time) bool {
	return s.importing.Test(uint(chunk)) && now.Sub(s.lastReport) < importSilenceTimeout && now.Sub(s.importingSince[uint(chunk)]) < importClaimTTL && !now.Before(s.distrustUntil)
}

// startRequest records that a chunk has been requested from the agent.
func (s *peerState) startRequest(chunk int, now time.Time) {
	if s.inFlight == nil {
		s.inFlight = map[int]time.Time{}
	}
	s.inFlight[chunk] = now
}

// busy reports whether the agent has stalled or has as many requests in flight as it may.
func (s *peerState) busy(now time.Time) bool {
	for _, since := range s.inFlight {
		if now.Sub(since) > stallTimeout {
			return true
		}
	}
	return len(s.inFlight) >= s.maxInFlight()
}

// overloaded reports whether a relay has more requests than its link can serve.
func (s *peerState) overloaded() bool {
	return s.relay && s.chunkTime > overloadedRelayTime
}

// preferredTo reports whether a chunk is better requested from s than from the other agent: relays that are not
// overloaded come first, then the agent with the lower expected time.
func (s *peerState) preferredTo(other *peerState, defaultTime time.Duration) bool {
	preferred := s.relay && !s.overloaded()
	if preferred != (other.relay && !other.overloaded()) {
		return preferred
	}
	return s.expectedTime(defaultTime) < other.expectedTime(defaultTime)
}

// maxInFlight returns the number of requests that may be in flight to this agent at once. It is bounded for relays too,
// since all agents of the region send them requests.
func (s *peerState) maxInFlight() int {
	switch {
	case !s.relay:
		return 1
	case s.chunkTime == 0:
		return initialRelayRequests
	}
	return min(max(int(relayQueueTime/s.chunkTime), 1), maxRelayRequests)
}

// endRequest records how a request has ended and how long it took.
func (s *peerState) endRequest(chunk int, outcome Outcome, took time.Duration, now time.Time) {
	concurrent := max(len(s.inFlight), 1)
	delete(s.inFlight, chunk)
	switch outcome {
	case Received:
		s.failures = 0
		s.chunkTime = movingAverage(s.chunkTime, took/time.Duration(concurrent))
	case Failed:
		s.held.Clear(uint(chunk)) // The next report sets it again if the agent does hold the chunk.
		s.backoffUntil = now.Add(initialBackoff << s.failures)
		s.failures = min(s.failures+1, maxBackoffDoublings)
	case Corrupt:
		s.distrustUntil = now.Add(distrustPeriod)
	}
}

// expectedTime returns the time that a chunk from the agent is expected to take; defaultTime is used for an agent without samples.
func (s *peerState) expectedTime(defaultTime time.Duration) time.Duration {
	expected := s.chunkTime
	switch {
	case expected == 0 && s.relay:
		expected = initialRelayTime
	case expected == 0:
		expected = defaultTime
	}
	expected *= time.Duration(len(s.inFlight) + 1)
	if s.otherZone {
		expected = time.Duration(otherZoneFactor * float64(expected))
	}
	return expected
}

// movingAverage returns the exponentially weighted moving average with a new sample included.
func movingAverage(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + time.Duration(sampleWeight*float64(sample-average))
}
