// Package railsite holds the settings of one process of a deployment whose endpoints are called directly.
package railsite
