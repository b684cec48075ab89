// Package railproof defines what is known of the weights that an engine holds after its latest known order.
package railproof
