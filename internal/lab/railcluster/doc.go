// Package railcluster runs routers and agents over an in-memory network, so
// that tests can inject failures in virtual time.
package railcluster
