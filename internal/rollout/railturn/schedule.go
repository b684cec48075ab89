package railturn

import "time"

const (
	// first and last bound the part of the time for new weights in which the engines change over: before it the weights
	// are on their way, and after it a late one still has time.
	first = 0.42
	last  = 0.93
)

// WantedVersion is a version of weights and the time for which it has been wanted.
type WantedVersion struct {
	Version int64
	Age     time.Duration
}

// Schedule gives each engine its turn.
type Schedule struct {
	// Weights is the time in which new weights are to serve everywhere.
	RolloutTime time.Duration
	// Named holds the versions in the order in which they were named.
	Versions []WantedVersion
}

// LoadDelay returns the time until an engine that serves one version is to load another; place is the engine's place among a
// number of engines.
func (s Schedule) LoadDelay(serving, loading int64, place, engines int) time.Duration {
	from, until := time.Duration(0), s.part(last)
	for _, n := range s.Versions {
		if n.Version == loading {
			from = s.part(first) - n.Age
		}
	}
	for _, n := range s.Versions {
		if n.Version > serving {
			until = s.part(last) - n.Age
			break
		}
	}
	if until <= from {
		return until
	}
	return from + (until-from)*time.Duration(place)/time.Duration(max(engines, 1))
}

func (s Schedule) part(share float64) time.Duration {
	return time.Duration(share * float64(s.RolloutTime))
}
