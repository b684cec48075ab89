// Package railweights reads weights versions from the object store. Manifests and chunks are stored under the digests of their
// content.
package railweights
