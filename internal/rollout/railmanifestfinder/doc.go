// Package railmanifestfinder finds the manifest of a version of weights. One agent reads it from the origin and the others get it from
// each other, which leaves the origin's bandwidth to the chunks.
package railmanifestfinder
