// Package railfleet knows the endpoints that may be called directly, what is in flight at each of them from this entry and
// from the others, and chooses among them.
package railfleet
