package railrequest

import (
	"strconv"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// AttemptSeparator stands between a request's id and the number of an attempt.
const AttemptSeparator = "~"

// Request is one request of a caller.
type Request struct {
	ID       string
	Service  string
	Customer string
	// Weight is the customer's share of the service while requests wait.
	Weight   int
	Priority int
	Deadline time.Time
	// Key is the caller's idempotency key, or empty.
	Key         string
	Idempotent  bool
	Affinity    string
	Path        string
	ContentType string
	Body        []byte
	ReceivedAt  time.Time
}

// AttemptMessage returns the message for one attempt at an agent's incarnation.
func (r Request) AttemptMessage(n int, incarnation string, revision uint64, now time.Time) *railproto.ExecuteRequest {
	return &railproto.ExecuteRequest{
		RequestId:     r.ID + AttemptSeparator + strconv.Itoa(n),
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
