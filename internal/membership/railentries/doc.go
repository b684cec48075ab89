// Package railentries tracks the entries that send requests to endpoints and divides each endpoint's capacity among them.
package railentries
