// Package railbenchcmd implements the command line of fulmarbench, which runs load tests and experiments.
package railbenchcmd
