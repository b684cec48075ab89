// Package railhash ranks nodes for a key by rendezvous hashing.
package railhash
