// Package railtarget decides which of two versions of weights is fetched first when the newer one is named before the older one
// is there.
package railtarget
