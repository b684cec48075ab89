package railpercentile

import (
	"slices"
	"time"
)

// Millis returns the given percentile of values in milliseconds, or 0 if there are no values. percent is from 0 to 100.
func Millis(values []time.Duration, percent int) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	index := min(len(sorted)*percent/100, len(sorted)-1)
	return float64(sorted[index].Microseconds()) / 1000
}
