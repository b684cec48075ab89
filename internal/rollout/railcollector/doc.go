// Package railcollector fetches the versions of a model's weights that are wanted, in the order in which engines need them.
package railcollector
