// Package raildownloader fetches the wanted versions of a model's weights, in the order in which the engines need them.
package raildownloader
