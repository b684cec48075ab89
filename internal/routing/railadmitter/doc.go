// Package railadmitter grants requests leases on endpoints that are called without an agent, and queues or rejects requests that
// can't be served immediately.
package railadmitter
