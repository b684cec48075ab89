package railanswer

import "time"

// Answer is the answer that a client received to one request.
type Answer struct {
	Service   string
	Customer  string
	Key       string
	StartedAt time.Time
	Status    int
	// Verdict is the verdict that the client received, or empty if it received none.
	Verdict  string
	Endpoint string
	// Weights holds the distinct digests of the weights that produced the answer's events.
	Weights []string
	// Complete reports whether the answer arrived in full, with its terminal event if it was a stream.
	Complete      bool
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Events        int
	Reason        string
}
