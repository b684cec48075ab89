package railroute

import (
	"slices"
	"time"
)

const (
	// Unsafe requests run at most once.
	Unsafe = "unsafe"
	// Safe requests are idempotent.
	Safe = "safe"
	// Streaming requests are answered by events with increasing ids.
	Streaming = "streaming"
)

// Route is one route of the configuration; it is immutable.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   string `json:"kind"`
	// Timeout is the longest time that a caller is kept waiting for the end of an answer.
	Timeout time.Duration `json:"timeout"`
	// Target is the time to the answer, or to its first event, within which it is on time.
	Target time.Duration `json:"target"`
	// TargetGap is the longest pause between two events of an answer on time.
	TargetGap time.Duration `json:"targetGap"`
	// Rank orders routes; 0 is the most urgent.
	Rank int `json:"rank"`
	// Attempts is the number of endpoints on which one request may run.
	Attempts int `json:"attempts"`
	// Public routes need no customer's key.
	Public bool `json:"public"`
	// Resumable streams may go on at another endpoint after their last event.
	Resumable bool `json:"resumable"`
	// Regions are those that may serve the route; none means all.
	Regions []string `json:"regions"`
	// Services are those that serve the route, with their weights.
	Services []Share `json:"services"`
}

// Share is a service's share of a route's requests.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Repeatable reports whether a request may run again after it may have run.
func (r Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Allows reports whether the route may be served in a region.
func (r Route) Allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Pick returns the service for a point between 0 and 1, by the services' weights.
func (r Route) Pick(point float64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	left := point * float64(total)
	for _, s := range r.Services {
		if left -= float64(s.Weight); left < 0 {
			return s.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}
