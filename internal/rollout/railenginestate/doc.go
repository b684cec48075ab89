// Package railenginestate holds what an engine reports about the weights that it has loaded.
package railenginestate
