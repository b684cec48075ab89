// Package railsignal wakes all goroutines that wait for a change.
package railsignal
