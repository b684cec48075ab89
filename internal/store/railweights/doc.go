// Package railweights reads versions of weights, which lie in the object store by the digests of their contents.
package railweights
