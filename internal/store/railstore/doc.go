// Package railstore is all that the system uses of the platform's store.
package railstore
