// Package railobjects defines the interface to the platform's object store.
package railobjects
