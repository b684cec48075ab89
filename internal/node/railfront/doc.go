// Package railfront implements an entry's HTTP interface for callers.
package railfront
