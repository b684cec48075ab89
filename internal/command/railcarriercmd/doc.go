// Package railcarriercmd implements the command "carrier", which runs the agent that transfers weights to the engine on its VM.
package railcarriercmd
