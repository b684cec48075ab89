package railendpoint

import "time"

// LimitReport is what a response of the endpoint says of the number of requests that it takes.
type LimitReport struct {
	// Incarnation identifies the start of the endpoint's process, or is empty if the response does not state it.
	Incarnation string
	// SentAt is the time at which the request was sent.
	SentAt time.Time
	// Control reports whether the response is to a control request of the agent, not to a request of a caller.
	Control bool
	// PerSecond is the number of requests per second that the endpoint takes. It holds if Limited is set; otherwise the response names none.
	PerSecond float64
	Limited   bool
}
