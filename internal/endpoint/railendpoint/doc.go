// Package railendpoint defines the interface to the endpoint that an agent manages.
package railendpoint
