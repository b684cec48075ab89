// Package railfinder finds the manifest of a version of weights: one agent reads it from the origin, and the others have it
// from each other, so that the origin's link is left to the chunks.
package railfinder
