// Package railstage hands the pieces of weights to the engine beside the process, which keeps them in order until it is told
// to load them.
package railstage
