// Package railterms says by when a request is to have a place at an endpoint, and within what time its answer is to begin there.
package railterms
