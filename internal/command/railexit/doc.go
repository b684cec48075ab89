// Package railexit defines the exit codes of the command line and attaches them to errors.
package railexit
