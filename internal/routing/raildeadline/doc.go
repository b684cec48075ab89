// Package raildeadline computes until when a request may wait for an endpoint, and how soon its response has to start there.
package raildeadline
