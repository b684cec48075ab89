// Package railvault stores verified chunks of weights in memory, by digest.
package railvault
