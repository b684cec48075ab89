package railconnlimits

import "time"

// Limits bounds the size of a caller's requests, and how long the caller may take or stay idle. 0 means unlimited.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound a request's head and body. The connection does not enforce them.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout is the time from the first byte of a request to the end of its head.
	HeaderTimeout time.Duration
	// IdleTimeout is the time without any byte after which an idle or new connection is closed.
	IdleTimeout time.Duration
}
