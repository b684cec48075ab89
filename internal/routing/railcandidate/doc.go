// Package railcandidate describes an endpoint that a request may be sent to, as known to one entry.
package railcandidate
