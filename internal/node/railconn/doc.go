// Package railconn watches callers' connections, so that a caller that leaves before its answer is noticed.
package railconn
