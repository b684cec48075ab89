// Package railstore defines the interface to the platform's store.
package railstore
