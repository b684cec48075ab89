// Package railloadorder holds the orders that make an engine load staged weights.
package railloadorder
