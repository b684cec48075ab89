package railroute

import (
	"slices"
	"time"
)

const (
	// KindUnsafe is the kind of routes whose requests run at most once.
	KindUnsafe = "unsafe"
	// KindSafe is the kind of routes whose requests are idempotent.
	KindSafe = "safe"
	// KindStreaming is the kind of routes whose responses are event streams with increasing event ids.
	KindStreaming = "streaming"
)

// Route is the configuration of one route. It is immutable.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix is the path prefix of the route; it begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   string `json:"kind"`
	// Timeout is the maximum time until the end of a response.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the time to the response, or to the first event of a stream, within which it counts as on time.
	TargetLatency time.Duration `json:"target"`
	// MaxEventGap is the maximum time between two events of a stream that counts as on time.
	MaxEventGap time.Duration `json:"targetGap"`
	// Rank is the urgency of the route; 0 is the most urgent.
	Rank int `json:"rank"`
	// MaxAttempts is the maximum number of endpoints on which one request may run.
	MaxAttempts int `json:"attempts"`
	// Public routes require no API key.
	Public bool `json:"public"`
	// Resumable streams may be continued by another endpoint after the last event that was received.
	Resumable bool `json:"resumable"`
	// Regions lists the regions that may serve the route; an empty list allows all.
	Regions []string `json:"regions"`
	// Services lists the services that serve the route, with their weights.
	Services []WeightedService `json:"services"`
}

// WeightedService is a service that serves a share of a route's requests, in proportion to its weight.
type WeightedService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Idempotent reports whether a request that may have run can be run again. This holds for resumable streams too.
func (r Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStreaming && r.Resumable
}

// AllowsRegion reports whether the route may be served in a region.
func (r Route) AllowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// PickService returns the service for a point in [0, 1), with the services weighted. It returns an empty string if no service has a
// positive weight.
func (r Route) PickService(point float64) string {
	total := 0
	for _, s := range r.Services {
		total += max(s.Weight, 0)
	}
	remaining := point * float64(total)
	last := ""
	for _, s := range r.Services {
		if s.Weight <= 0 {
			continue
		}
		if remaining -= float64(s.Weight); remaining < 0 {
			return s.Service
		}
		last = s.Service
	}
	return last
}
