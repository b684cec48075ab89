package railchooser

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/routing/railcandidate"
	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
)

const (
	// boundedLoadFactor bounds the utilization of an endpoint that is selected by affinity: to this multiple of the mean, plus one
	// request.
	boundedLoadFactor = 1.25
	// roundTripTolerance is the difference in round-trip time within which zones count as equally near.
	roundTripTolerance = time.Millisecond
)

// Chooser prefers endpoints in its own zone, then those in the nearest zones. Among these it selects the endpoint by affinity, with
// bounded load, or else the less utilized of two random ones.
type Chooser struct {
	Zone   string
	Random *rand.Rand
}

// Choose returns one of the candidates. It reports false if none has capacity or accepts a waiting request.
func (c Chooser) Choose(affinity string, candidates []railcandidate.Candidate) (railcandidate.Candidate, bool) {
	nearest := c.nearest(candidates)
	if len(nearest) == 0 {
		return railcandidate.Candidate{}, false
	}
	if affinity != "" {
		first := rankingByName().Top(affinity, nearest, 1)[0]
		if first.Utilization() <= boundedLoadFactor*meanUtilization(nearest)+1/float64(first.Limit) {
			return first, true
		}
	}
	a := nearest[c.Random.IntN(len(nearest))]
	b := nearest[c.Random.IntN(len(nearest))]
	if b.Utilization() < a.Utilization() {
		return b, true
	}
	return a, true
}

// Isolate returns the endpoint with capacity that follows from a key, in any zone, so that all entries choose the same one. It reports false if
// none has capacity or accepts a waiting request.
func (c Chooser) Isolate(key string, candidates []railcandidate.Candidate) (railcandidate.Candidate, bool) {
	available := c.available(candidates)
	if len(available) == 0 {
		return railcandidate.Candidate{}, false
	}
	return rankingByName().Top(key, available, 1)[0], true
}

// available returns the candidates with capacity or, if there are none, those at which the request may wait.
func (c Chooser) available(candidates []railcandidate.Candidate) []railcandidate.Candidate {
	available := slices.DeleteFunc(slices.Clone(candidates), func(v railcandidate.Candidate) bool { return !v.HasCapacity() })
	if len(available) == 0 {
		available = slices.DeleteFunc(slices.Clone(candidates), func(v railcandidate.Candidate) bool { return !v.CanQueue() })
	}
	return available
}

// nearest returns the available candidates in the own zone, or else in the nearest zones.
func (c Chooser) nearest(candidates []railcandidate.Candidate) []railcandidate.Candidate {
	available := c.available(candidates)
	sameZone := slices.DeleteFunc(slices.Clone(available), func(v railcandidate.Candidate) bool { return v.Member.Zone != c.Zone })
	if len(sameZone) > 0 || len(available) == 0 {
		return sameZone
	}
	closest := slices.MinFunc(available, func(a, b railcandidate.Candidate) int { return int(a.RoundTrip - b.RoundTrip) })
	return slices.DeleteFunc(available, func(v railcandidate.Candidate) bool {
		return v.RoundTrip > closest.RoundTrip+roundTripTolerance
	})
}

func rankingByName() railhash.Ranking[railcandidate.Candidate] {
	return railhash.Ranking[railcandidate.Candidate]{Name: func(v railcandidate.Candidate) string { return v.Member.Name }}
}

func meanUtilization(candidates []railcandidate.Candidate) float64 {
	sum := 0.0
	for _, v := range candidates {
		sum += v.Utilization()
	}
	return sum / float64(len(candidates))
}
