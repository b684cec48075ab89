// Package railstager stages the pieces of weights on the local engine, which loads them without checking them. Piece i is chunk i
// of the manifest.
package railstager
