// Package railrequest defines a caller's request as parsed by an entry.
package railrequest
