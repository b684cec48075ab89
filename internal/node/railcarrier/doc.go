// Package railcarrier implements an agent that only distributes model weights to the engine on its VM. Entries call that engine
// directly.
package railcarrier
