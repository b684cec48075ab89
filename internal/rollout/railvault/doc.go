// Package railvault keeps checked chunks of weights in memory, by their digests.
package railvault
