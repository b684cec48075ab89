package railpercentile

import (
	"slices"
	"time"
)

// Millis returns the time below which the given percentage of the values lie, in milliseconds, or 0 without values.
func Millis(values []time.Duration, percent int) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	index := min(len(sorted)*percent/100, len(sorted)-1)
	return float64(sorted[index].Microseconds()) / 1000
}
