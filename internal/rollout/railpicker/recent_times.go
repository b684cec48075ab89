package railpicker

import (
	"slices"
	"time"
)

// maxRecentTimes is the number of the latest chunks that count.
const maxRecentTimes = 15

// recentTimes holds the times that the latest chunks took, in the order of their arrival.
type recentTimes struct {
	times []time.Duration
	// median is the median of the times, or 0 if there are none.
	median time.Duration
}

// add records the time that a chunk took.
func (r *recentTimes) add(took time.Duration) {
	if len(r.times) == maxRecentTimes {
		r.times = slices.Delete(r.times, 0, 1)
	}
	r.times = append(r.times, took)
	r.median = slices.Sorted(slices.Values(r.times))[len(r.times)/2]
}
