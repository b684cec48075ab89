// Package railcarrier runs an agent that only brings weights to the engine beside it: entries call that engine directly.
package railcarrier
