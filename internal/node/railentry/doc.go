// Package railentry implements the entry process, which accepts callers' requests over HTTP and forwards them to the agents of
// endpoints.
package railentry
