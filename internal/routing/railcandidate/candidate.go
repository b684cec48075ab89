package railcandidate

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
)

// Candidate is an immutable view of an endpoint.
type Candidate struct {
	Member      railmember.Member
	Incarnation string
	// Running is the number of running requests in the last load report plus those that this entry has sent since. The report may be
	// outdated.
	Running int
	// Limit is the number of concurrent requests that the endpoint's agent admits.
	Limit int
	// AwaitingDecision is the number of requests from this entry that the endpoint's agent has neither admitted nor rejected.
	AwaitingDecision int
	// LimitReduced reports whether Limit was reduced by WithLimitShare.
	LimitReduced bool
	// RoundTrip is the round-trip time of a heartbeat.
	RoundTrip time.Duration
}

// HasCapacity reports whether the endpoint is expected to admit another request.
func (c Candidate) HasCapacity() bool {
	return c.Running < c.Limit
}

// CanQueue reports whether a request may be sent to wait for capacity at the endpoint. Each entry has at most one request waiting
// there, and the endpoint's agent decides between the entries.
func (c Candidate) CanQueue() bool {
	return c.AwaitingDecision == 0 && !c.LimitReduced
}

// Utilization returns the number of running requests relative to the limit. It exceeds 1 for an overloaded endpoint.
func (c Candidate) Utilization() float64 {
	return float64(c.Running) / float64(max(c.Limit, 1))
}

// WithLimitShare returns the candidate with its limit reduced to a share from 0 to 1, for example while traffic to its zone ramps
// up. The limit stays at least 1.
func (c Candidate) WithLimitShare(share float64) Candidate {
	if share < 1 {
		c.Limit = max(int(float64(c.Limit)*share), 1)
		c.LimitReduced = true
	}
	return c
}
