// Package railorderservice simulates an order service that counts the commits of each order, so that duplicate and lost orders can be
// detected.
package railorderservice
