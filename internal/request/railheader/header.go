package railheader

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Translator converts between the headers of a platform and their contents.
type Translator interface {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(h *fasthttp.RequestHeader) Request
	// WriteAttempt sets the headers of an attempt and removes headers that an endpoint must not see.
	WriteAttempt(h *fasthttp.RequestHeader, a Attempt)
	// ParseResponse parses the headers of an endpoint's response.
	ParseResponse(h *fasthttp.ResponseHeader) Response
	// RemoveInternal removes the headers of an endpoint's response that are meant for this VM, not for the caller.
	RemoveInternal(h *fasthttp.ResponseHeader)
}

// Request holds the contents of a caller's request headers.
type Request struct {
	// APIKey is the key that identifies the customer, or an empty string.
	ID, APIKey string
	// Timeout is the time for which the caller waits, or 0 if not stated.
	Timeout time.Duration
	// PromptTokens is the number of tokens of the prompt and OutputTokens the estimated number of tokens of the response. They are 0
	// if not stated.
	PromptTokens, OutputTokens int
	// SharedParts holds the IDs of the parts of the prompt that other requests may have too, in order. It is empty if not stated.
	SharedParts []string
	// LastEventID is the ID of the event after which a stream resumes, or an empty string.
	LastEventID string
}

// Attempt holds the contents of the headers that an endpoint receives in addition to the caller's.
type Attempt struct {
	Instance, Customer string
	// Timeout is the time after which the endpoint has to stop.
	Timeout time.Duration
	// WeightsVersion is the version of the weights that must serve the request, or 0 for any.
	WeightsVersion int64
	LastEventID    string
}

// Response holds the contents of an endpoint's response headers.
type Response struct {
	RequestID string
	// Sealed reports whether the response has the header by which the endpoint confirms its body.
	Sealed bool
	// ContentEncoded reports whether the body has an encoding and thus differs from the bytes that the endpoint produced.
	ContentEncoded bool
	// NotRun reports whether the endpoint has not run the request and never will.
	NotRun bool
	// Load is the endpoint's load, or nil if not reported.
	Load       *Load
	SelfReport SelfReport
}

// SelfReport is what an endpoint says of itself in a response.
type SelfReport struct {
	// Leaving reports whether the endpoint is leaving and wants no further requests.
	Leaving bool
	// Pause is the time for which the endpoint wants no requests from this VM, or 0 if not stated.
	Pause time.Duration
	// Limit is the number of requests per second that the endpoint takes from all VMs together. It holds if Limited is set.
	Limit   float64
	Limited bool
	// Unlimited reports whether the response names no limit, not even a malformed one.
	Unlimited bool
	// Malformed holds the headers that were ignored because of their values.
	Malformed []Header
}

// Header is a header with its value as received.
type Header struct {
	Name, Value string
}

// Load is an endpoint's load as reported with a response.
type Load struct {
	Running, Waiting, Slots int
}
