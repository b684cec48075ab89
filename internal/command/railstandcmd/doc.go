// Package railstandcmd implements the command line of fulmarstand, which runs simulated dependencies of a deployment.
package railstandcmd
