// Package railstage hands the pieces of weights to the engine beside the process, which loads them as they lie there.
package railstage
