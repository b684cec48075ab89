package railquota

import (
	"math"
	"time"
)

const (
	// measuredTime is the time over which an endpoint's limit is measured. A quota's window is no shorter.
	measuredTime = 4 * time.Second
	// maxWindow is the longest window, so that an endpoint that takes next to nothing still gets a request from which the end of its
	// limit is learned.
	maxWindow = 10 * time.Second
	// maxRequests bounds a quota. A higher rate limits nothing.
	maxRequests = 1 << 20
)

// Quota is a number of requests that may be sent in any window of time.
type Quota struct {
	Requests int
	Window   time.Duration
}

// ForRate returns the quota for a number of requests per second. A low rate gets a window in which it allows one request.
func ForRate(perSecond float64) Quota {
	requests := math.Ceil(perSecond * measuredTime.Seconds())
	switch {
	case requests > maxRequests:
		return Quota{Requests: maxRequests, Window: measuredTime}
	case perSecond*maxWindow.Seconds() <= 1:
		return Quota{Requests: 1, Window: maxWindow}
	}
	return Quota{Requests: int(requests), Window: time.Duration(requests / perSecond * float64(time.Second))}
}

// Spacing returns the least time between two requests. It spreads a quota over at least half of its window.
func (q Quota) Spacing() time.Duration {
	if q.Requests < 2 {
		return 0
	}
	return q.Window / time.Duration(2*q.Requests)
}
