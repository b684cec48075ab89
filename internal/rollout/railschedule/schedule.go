package railschedule

import "time"

const (
	// startFraction and endFraction bound the part of the rollout time in which the engines load new weights: before it the
	// weights are being transferred, and after it there is time left for a late engine.
	startFraction = 0.42
	endFraction   = 0.93
)

// WantedVersion is a version of weights and the longest time for which it may have been wanted.
type WantedVersion struct {
	Version int64
	Age     time.Duration
	// Guessed is set if Age is only a guess.
	Guessed bool
}

// Schedule assigns each engine the time at which it loads new weights.
type Schedule struct {
	// RolloutTime is the time from when a version becomes wanted until all engines must serve it.
	RolloutTime time.Duration
	// Versions holds the wanted versions in the order in which they became wanted.
	Versions []WantedVersion
}

// LoadDelay returns the time until an engine that serves one version should load another; 0 or less means now. position is the
// engine's index among the given number of engines.
func (s Schedule) LoadDelay(serving, loading int64, position, engines int) time.Duration {
	from, until := time.Duration(0), s.portion(endFraction)
	for _, v := range s.Versions {
		if v.Version == loading {
			from = s.portion(startFraction) - v.Age
		}
	}
	for _, v := range s.Versions {
		if v.Version > serving {
			until = s.portion(endFraction) - v.Age
			break
		}
	}
	if until <= from {
		return until
	}
	return from + (until-from)*time.Duration(position)/time.Duration(max(engines, 1))
}

// portion returns a fraction of the rollout time.
func (s Schedule) portion(fraction float64) time.Duration {
	return time.Duration(fraction * float64(s.RolloutTime))
}
