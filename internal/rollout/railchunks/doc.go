// Package railchunks tracks which chunks an agent holds. The chunks are kept by a backend such as the engine; the agent
// itself caches only a few recent ones.
package railchunks
