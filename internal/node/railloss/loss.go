package railloss

import "time"

const (
	// Incomplete means that the connection ended while a request had arrived only in part, by its caller or without a response.
	Incomplete Kind = "incomplete"
	// Discarded means that data arrived after the end of the connection had been sent. It was discarded.
	Discarded Kind = "discarded"
	// Unanswered means that the connection ended before any part of the response to a request was written.
	Unanswered Kind = "unanswered"
	// Unwritten means that a response could not be written in full.
	Unwritten Kind = "unwritten"
)

// Kind is how something that a caller sent got no complete response.
type Kind string

// Loss describes a connection that ended, so that its caller got no complete response to something that it had sent.
type Loss struct {
	Kind Kind
	// RequestID is the ID of the request, or empty if the request had not been received in full.
	RequestID string
	// Bytes is the number of bytes that were received of the request, or discarded.
	Bytes int
	// Head is the beginning of the discarded data.
	Head []byte
	// SinceFirst and SinceLast are the times since the first and the last of these bytes were received.
	SinceFirst, SinceLast time.Duration
	// SinceEnd is the time since the end of the connection was sent, or 0 if it was not.
	SinceEnd time.Duration
	// Draining is whether the process drains.
	Draining bool
	// Err is the error of the last read or write, if there was one.
	Err error
}
