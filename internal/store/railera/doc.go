// Package railera tracks the era of the platform's store, which rises when the store is restored from an older copy and loses what was
// written since that copy was made.
package railera
