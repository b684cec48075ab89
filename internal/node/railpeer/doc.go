// Package railpeer implements a peer in the swarm that distributes a model's weights. A peer downloads chunks from the origin and from
// other peers, and uploads its own.
package railpeer
