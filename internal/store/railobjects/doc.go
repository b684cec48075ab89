// Package railobjects is the system's view of the platform's object store.
package railobjects
