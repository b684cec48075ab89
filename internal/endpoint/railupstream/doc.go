// Package railupstream implements an HTTP client for an endpoint.
package railupstream
