// Package railinstaller installs the wanted version of weights on the local engine. It fetches the weights, stages them on the
// engine, verifies the staged pieces, and orders the engine to load them after the delay that the rollout schedule gives it.
package railinstaller
