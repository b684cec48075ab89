// Package railexchange makes one HTTP exchange with an endpoint on a connection of its own, and knows whether the request may
// have run and whether the answer came whole.
package railexchange
