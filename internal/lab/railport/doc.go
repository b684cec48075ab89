// Package railport gives tests ports for processes that they are about to start.
package railport
