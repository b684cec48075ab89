// Package railversion orders the states of a store that may be restored from an older copy. Such a store counts its changes, but after a
// restore its counter goes back and gives out the same numbers again. The store's era, which rises with each restore, tells them apart.
//
// A version is an int64 that holds the era in its upper bits and the store's number in its lower ones. So a later state always has the
// higher version, and the versions of a store that was never restored are its numbers.
package railversion
