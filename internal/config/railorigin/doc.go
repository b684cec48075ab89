// Package railorigin defines the configuration of an origin of weights.
package railorigin
