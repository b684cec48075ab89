// Package railmemstore stores verified chunks of weights in memory, by digest.
package railmemstore
