// Package railpercentile computes percentiles of measured durations.
package railpercentile
