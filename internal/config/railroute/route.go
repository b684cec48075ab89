package railroute

import (
	"slices"
	"time"
)

const (
	// KindUnsafe requests run at most once.
	KindUnsafe = "unsafe"
	// KindSafe requests are idempotent.
	KindSafe = "safe"
	// KindStreaming requests are answered by events with increasing ids.
	KindStreaming = "streaming"
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
	// TargetLatency is the time to the answer, or to its first event, within which it is on time.
	TargetLatency time.Duration `json:"target"`
	// MaxEventGap is the longest pause between two events of an answer on time.
	MaxEventGap time.Duration `json:"targetGap"`
	// Rank orders routes; 0 is the most urgent.
	Rank int `json:"rank"`
	// MaxAttempts is the number of endpoints on which one request may run.
	MaxAttempts int `json:"attempts"`
	// Public routes need no customer's key.
	Public bool `json:"public"`
	// Resumable streams may go on at another endpoint after their last event.
	Resumable bool `json:"resumable"`
	// Regions are those that may serve the route; none means all.
	Regions []string `json:"regions"`
	// Services are those that serve the route, with their weights.
	Services []WeightedService `json:"services"`
}

// WeightedService is a service's share of a route's requests.
type WeightedService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Idempotent reports whether a request may run again after it may have run.
func (r Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStreaming && r.Resumable
}

// AllowsRegion reports whether the route may be served in a region.
func (r Route) AllowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// PickService returns the service for a point between 0 and 1, by the services' weights.
func (r Route) PickService(point float64) string {
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
