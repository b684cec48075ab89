package railcandidate

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
)

// Candidate is an immutable view of one endpoint.
type Candidate struct {
	Member      railmember.Member
	Incarnation string
	// Running is the late reported load with the entry's own requests since that report.
	Running int
	// Limit is the number of requests at once that the endpoint's agent admits.
	Limit int
	// AwaitingDecision is the number of the entry's own requests that the endpoint's agent has neither admitted nor refused yet.
	AwaitingDecision int
	// LimitReduced says that the limit is cut to a share.
	LimitReduced bool
	// RoundTrip is the measured time of a heartbeat.
	RoundTrip time.Duration
}

// HasCapacity reports whether the endpoint is thought to admit one more request.
func (c Candidate) HasCapacity() bool {
	return c.Running < c.Limit
}

// CanQueue reports whether one request may wait there for room: the endpoint's agent decides between the entries.
func (c Candidate) CanQueue() bool {
	return c.AwaitingDecision == 0 && !c.LimitReduced
}

// Utilization returns the share of the limit that is taken.
func (c Candidate) Utilization() float64 {
	return float64(c.Running) / float64(max(c.Limit, 1))
}

// WithLimitShare returns the candidate with its limit cut to a share, as while its zone's share ramps up.
func (c Candidate) WithLimitShare(share float64) Candidate {
	if share < 1 {
		c.Limit = max(int(float64(c.Limit)*share), 1)
		c.LimitReduced = true
	}
	return c
}
