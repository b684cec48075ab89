package railpicker

import (
	"time"

	"github.com/bits-and-blooms/bitset"
)

const (
	// farFactor is what a chunk from another zone costs over one from the own zone.
	farFactor = 1.5
	// newWeight is the weight of the newest chunk in a holder's usual time.
	newWeight = 0.3
	// firstAvoidance is the time for which a holder is left after a failure; it doubles with each further one.
	firstAvoidance = 200 * time.Millisecond
	maxStrikes     = 5
	// distrustFor is the time for which an agent that gave a corrupt chunk counts for nothing.
	distrustFor = 20 * time.Second
	// silentAfter is the time without a word after which an agent is not expected to import anything.
	silentAfter = 700 * time.Millisecond
	// goneAfter is the time without a word after which nothing is asked of an agent.
	goneAfter = 1500 * time.Millisecond
	// relayAsks is the number of chunks that a relay is asked for at once at the most, firstAsks that number before it has given
	// any, and relayQueue the time in which those that are asked for at once are to come.
	relayAsks, firstAsks = 8, 1
	relayQueue           = 150 * time.Millisecond
	// slowRelay is the time for a chunk beyond which a relay is asked by a few agents for each chunk, which pass it on.
	slowRelay = 90 * time.Millisecond
	// stuckAfter is the time without an answer after which a relay is asked for no more.
	stuckAfter = 400 * time.Millisecond
	// freshRelay is what a chunk is expected to take from a relay that has given none yet.
	freshRelay = 10 * time.Millisecond
)

// Word is what another agent tells of itself.
type Word struct {
	Name string
	// Outside says that it is in another region, Far that it is in another zone, and Neighbour that chunks are to be taken from it
	// rather than from others of the region.
	Outside, Far, Neighbour bool
	// Relay says that it is a relay, whose link gives chunks to many agents at once.
	Relay bool
	// Held and Importing are the chunks that it holds, and those that it is bringing into its region.
	Held, Importing *bitset.BitSet
}

// holder is another agent.
type holder struct {
	name            string
	held, importing bitset.BitSet
	outside, far    bool
	neighbour       bool
	relay           bool
	// heard and progressed are when the agent last told something, and when what it holds had grown.
	heard, progressed time.Time
	// claimed is when the agent first told that it is importing each of the chunks that it is importing.
	claimed map[uint]time.Time
	// usual is the time that a chunk from here takes, waiting for its turn included, over the number asked for at once.
	usual time.Duration
	// asked holds for each chunk that is asked for here since when.
	asked      map[int]time.Time
	strikes    int
	avoidUntil time.Time
	// distrustUntil is the time until which nothing that the agent tells counts.
	distrustUntil time.Time
}

func (h *holder) hear(word Word, now time.Time) {
	if word.Held.Count() > h.held.Count() {
		h.progressed = now
	}
	claimed := map[uint]time.Time{}
	for chunk, ok := word.Importing.NextSet(0); ok; chunk, ok = word.Importing.NextSet(chunk + 1) {
		claimed[chunk] = now
		if since, known := h.claimed[chunk]; known {
			claimed[chunk] = since
		}
	}
	h.held, h.importing, h.claimed = *word.Held, *word.Importing, claimed
	h.outside, h.far, h.neighbour, h.relay, h.heard = word.Outside, word.Far, word.Neighbour, word.Relay, now
}

// in reports whether the agent belongs to a part of the others.
func (h *holder) in(c circle) bool {
	switch c {
	case neighbours:
		return !h.outside && h.neighbour
	case region:
		return !h.outside
	}
	return h.outside
}

// offers reports whether a chunk may be asked for here.
func (h *holder) offers(chunk int, now time.Time) bool {
	return h.held.Test(uint(chunk)) && now.Sub(h.heard) < goneAfter && !now.Before(h.distrustUntil)
}

// claims reports whether the agent is bringing a chunk into its region and is likely to do so soon.
func (h *holder) claims(chunk int, now time.Time) bool {
	return h.importing.Test(uint(chunk)) && now.Sub(h.heard) < silentAfter && now.Sub(h.claimed[uint(chunk)]) < claimFor && !now.Before(h.distrustUntil)
}

// ask notes that a chunk is asked for here.
func (h *holder) ask(chunk int, now time.Time) {
	if h.asked == nil {
		h.asked = map[int]time.Time{}
	}
	h.asked[chunk] = now
}

// busy reports whether nothing further is to be asked for here now.
func (h *holder) busy(now time.Time) bool {
	for _, since := range h.asked {
		if now.Sub(since) > stuckAfter {
			return true
		}
	}
	return len(h.asked) >= h.atOnce()
}

// slow reports whether a relay has more to give than its link bears.
func (h *holder) slow() bool {
	return h.relay && h.usual > slowRelay
}

// before reports whether a chunk is to be asked for here rather than elsewhere: from a relay that is not slow, or else where it is
// expected soonest.
func (h *holder) before(other *holder, usual time.Duration) bool {
	fast := h.relay && !h.slow()
	if fast != (other.relay && !other.slow()) {
		return fast
	}
	return h.cost(usual) < other.cost(usual)
}

// atOnce returns the number of chunks that may be asked for here at once: all agents of the region ask a relay.
func (h *holder) atOnce() int {
	switch {
	case !h.relay:
		return 1
	case h.usual == 0:
		return firstAsks
	}
	return min(max(int(relayQueue/h.usual), 1), relayAsks)
}

// end notes how a request here has ended.
func (h *holder) end(chunk int, outcome Outcome, took time.Duration, now time.Time) {
	together := max(len(h.asked), 1)
	delete(h.asked, chunk)
	switch outcome {
	case Came:
		h.strikes = 0
		h.usual = smooth(h.usual, took/time.Duration(together))
	case Failed:
		h.held.Clear(uint(chunk)) // It says so again if it holds the chunk all the same.
		h.avoidUntil = now.Add(firstAvoidance << h.strikes)
		h.strikes = min(h.strikes+1, maxStrikes)
	case Corrupt:
		h.distrustUntil = now.Add(distrustFor)
	}
}

// cost is what a chunk from here is expected to take; elsewhere is the time that it usually takes.
func (h *holder) cost(elsewhere time.Duration) time.Duration {
	cost := h.usual
	switch {
	case cost == 0 && h.relay:
		cost = freshRelay
	case cost == 0:
		cost = elsewhere
	}
	cost *= time.Duration(len(h.asked) + 1)
	if h.far {
		cost = time.Duration(farFactor * float64(cost))
	}
	return cost
}

// smooth returns a usual time with a newer one taken into account.
func smooth(usual, took time.Duration) time.Duration {
	if usual == 0 {
		return took
	}
	return usual + time.Duration(newWeight*float64(took-usual))
}
