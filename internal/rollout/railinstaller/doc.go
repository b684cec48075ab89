// Package railinstaller installs the wanted version of weights on the local engine. It fetches the weights, and loads them on the engine
// after the delay that the rollout schedule gives it.
package railinstaller
