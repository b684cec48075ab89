// Package railinstaller brings the engine beside the process to the version of weights that is wanted: it fetches and stages
// the pieces, reads them back, and orders the engine to load them when its turn has come.
package railinstaller
