// Package railentries knows the entries that may send requests to endpoints, and divides among them what an endpoint bears.
package railentries
