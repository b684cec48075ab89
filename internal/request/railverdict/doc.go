// Package railverdict defines whether a request may have run, and hence whether it may be retried.
package railverdict
