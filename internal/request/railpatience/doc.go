// Package railpatience distinguishes first requests from retries of rejected requests by their timeouts, and computes the delay
// before a retry.
package railpatience
