// Package railquota turns a rate into a number of requests in a sliding window, which entries can divide among themselves.
package railquota
