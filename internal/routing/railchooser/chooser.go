package railchooser

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/routing/railcandidate"
	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
)

const (
	// boundedLoad is the load over the mean at which affinity gives way.
	boundedLoad = 1.25
	// nearTolerance is the round-trip time within which zones count as equally near.
	nearTolerance = time.Millisecond
)

// Chooser prefers the own zone, then nearer ones; within them the endpoint by affinity unless it is over its bounded
// load, then the better of two.
type Chooser struct {
	Zone   string
	Random *rand.Rand
}

// Choose returns one of the candidates that have room, or reports false when none has.
func (c Chooser) Choose(affinity string, candidates []railcandidate.Candidate) (railcandidate.Candidate, bool) {
	near := c.nearest(candidates)
	if len(near) == 0 {
		return railcandidate.Candidate{}, false
	}
	if affinity != "" {
		byName := railhash.Ranking[railcandidate.Candidate]{Name: func(v railcandidate.Candidate) string { return v.Member.Name }}
		first := byName.Top(affinity, near, 1)[0]
		if first.Utilization() <= boundedLoad*mean(near)+1/float64(first.Limit) {
			return first, true
		}
	}
	a := near[c.Random.IntN(len(near))]
	b := near[c.Random.IntN(len(near))]
	if b.Utilization() < a.Utilization() {
		return b, true
	}
	return a, true
}

// nearest returns the candidates with room in the own zone, or else in the nearest zones that have any. Where none has
// room, those count at which the request may wait for it.
func (c Chooser) nearest(candidates []railcandidate.Candidate) []railcandidate.Candidate {
	open := slices.DeleteFunc(slices.Clone(candidates), func(v railcandidate.Candidate) bool { return !v.HasCapacity() })
	if len(open) == 0 {
		open = slices.DeleteFunc(slices.Clone(candidates), func(v railcandidate.Candidate) bool { return !v.CanQueue() })
	}
	own := slices.DeleteFunc(slices.Clone(open), func(v railcandidate.Candidate) bool { return v.Member.Zone != c.Zone })
	if len(own) > 0 || len(open) == 0 {
		return own
	}
	closest := slices.MinFunc(open, func(a, b railcandidate.Candidate) int { return int(a.RoundTrip - b.RoundTrip) })
	return slices.DeleteFunc(open, func(v railcandidate.Candidate) bool {
		return v.RoundTrip > closest.RoundTrip+nearTolerance
	})
}

func mean(list []railcandidate.Candidate) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v.Utilization()
	}
	return sum / float64(len(list))
}
