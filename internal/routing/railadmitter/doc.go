// Package railadmitter grants capacity of directly called endpoints to requests, and queues or rejects requests that can't be
// served immediately.
package railadmitter
