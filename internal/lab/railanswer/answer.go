package railanswer

import "time"

// Answer is what one caller got for one request.
type Answer struct {
	Service   string
	Customer  string
	Key       string
	StartedAt time.Time
	Status    int
	// Verdict is the verdict that the caller was told, or empty when it was told none.
	Verdict  string
	Endpoint string
	// Weights holds the digests that the answer's parts were made from.
	Weights []string
	// Whole says that the answer came with its definite end.
	Complete      bool
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Events        int
	Reason        string
}
