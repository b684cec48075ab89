package railenvelope

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Translator reads and writes the headers of a platform.
type Translator interface {
	// ParseRequest reads what a caller's headers say.
	ParseRequest(h *fasthttp.RequestHeader) Request
	// WriteAttempt sets the headers of one attempt, and removes those that an endpoint must not see.
	WriteAttempt(h *fasthttp.RequestHeader, a Attempt)
	// ParseResponse reads what an endpoint's headers say.
	ParseResponse(h *fasthttp.ResponseHeader) Response
}

// Request is what a caller's headers say.
type Request struct {
	ID, Key string
	// Timeout is the time for which the caller waits, or 0 where it says none.
	Timeout time.Duration
	// PromptTokens and AnswerTokens are the tokens of the prompt and, as an estimate, of the answer, or 0 where they are not said.
	PromptTokens, OutputTokens int
	// LastEventID is the id of the event after which a stream goes on, or empty.
	LastEventID string
}

// Attempt is what an endpoint is told besides the caller's request.
type Attempt struct {
	Instance, Customer string
	// Left is the time after which the endpoint is to stop.
	Timeout time.Duration
	// Version is the version of weights that must serve, or 0 for any.
	Version     int64
	LastEventID string
}

// Response is what an endpoint's headers say.
type Response struct {
	RequestID string
	// Sealed says that the endpoint vouches for the answer's body.
	Sealed bool
	// ContentEncoded says that the body is not the endpoint's own bytes.
	ContentEncoded bool
	// NotRun says that the endpoint has not run the request and never will.
	NotRun bool
	// Load is the endpoint's load, or nil where it does not tell it.
	Load *Load
}

// Load is an endpoint's load as it tells it with an answer.
type Load struct {
	Running, Waiting, Slots int
}
