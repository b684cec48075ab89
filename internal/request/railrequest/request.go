package railrequest

import (
	"strconv"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// AttemptSeparator separates a request's ID from the number of an attempt.
const AttemptSeparator = "~"

// Request is a request of a caller.
type Request struct {
	ID       string
	Service  string
	Customer string
	// Weight is the customer's weight in the fair queuing of waiting requests.
	Weight int
	// Priority orders waiting requests; higher ones are served first.
	Priority int
	Deadline time.Time
	// Key is the caller's idempotency key, or an empty string.
	Key        string
	Idempotent bool
	// Affinity is the key by which requests are sent to the same endpoint where possible, or an empty string.
	Affinity string
	// SharedParts identifies what other requests may share with this one. Engines may end under a shared part.
	SharedParts []string
	// IsolationKey is the key from which the endpoint follows at all entries, or an empty string if any endpoint will do.
	IsolationKey string
	Path         string
	ContentType  string
	Body         []byte
	ReceivedAt   time.Time
}

// AttemptMessage returns the message for an attempt at an incarnation of an agent. Its timeout is the time until the deadline, but
// at least 1 ms.
func (r Request) AttemptMessage(attemptNumber int, incarnation string, revision uint64, now time.Time) *railproto.ExecuteRequest {
	return &railproto.ExecuteRequest{
		RequestId:     r.ID + AttemptSeparator + strconv.Itoa(attemptNumber),
		Incarnation:   incarnation,
		Service:       r.Service,
		Customer:      r.Customer,
		Priority:      int32(r.Priority),
		TimeoutMillis: max(r.Deadline.Sub(now).Milliseconds(), 1),
		Idempotent:    r.Idempotent,
		Key:           r.Key,
		Body:          r.Body,
		Path:          r.Path,
		ContentType:   r.ContentType,
		Revision:      revision,
	}
}
