// Package railretrydetector distinguishes first tries from retries of rejected requests by their timeouts, and computes the delay before a
// retry.
package railretrydetector
