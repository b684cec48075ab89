// Package railcarriercmd is the command that runs an agent which only brings weights to the engine beside it.
package railcarriercmd
