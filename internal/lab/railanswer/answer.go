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
	Complete bool
	// FirstToken is the time from StartedAt to the first event of a stream, or to the end of an answer that is not a stream.
	FirstToken time.Duration
	// BetweenTokens is the mean time between the events of a stream, or 0 if it has fewer than two or no terminal event.
	BetweenTokens time.Duration
	// Events is the number of events, the terminal one not included.
	Events int
	// Reason is the error or rejection message of an incomplete answer.
	Reason string
}
