// Package railreconciler brings one engine to the weights that the current
// configuration revision specifies: it fetches them, acquires a slot, drains
// the engine, loads the weights and verifies the result.
package railreconciler
