// Package railclient provides an HTTP client of the entries for load generators and tests.
package railclient
