// Package railcaller provides an HTTP client of the entries for load generators and tests.
package railcaller
