// Package railsteps repeats one step of getting weights into place.
package railsteps
