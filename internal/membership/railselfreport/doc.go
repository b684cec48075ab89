// Package railselfreport holds what an endpoint has said of itself in its responses: that it is leaving, or that it wants no requests
// from this VM for some time. A response reaches the VM before the store's list of endpoints shows the change, and also while the store
// is out of reach.
package railselfreport
