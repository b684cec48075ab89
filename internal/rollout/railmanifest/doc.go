// Package railmanifest describes one complete version of weights by the
// digests of its chunks.
package railmanifest
