// Package railsignal wakes all that wait for a change.
package railsignal
