// Package railtree computes the distribution tree of each chunk of a manifest: which agent imports it into a region, and from
// which agents the others request it.
package railtree
