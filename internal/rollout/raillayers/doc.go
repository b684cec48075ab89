// Package raillayers holds ranges of a model's layers and finds the pieces of the weights that they need.
package raillayers
