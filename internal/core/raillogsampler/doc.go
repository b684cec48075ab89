// Package raillogsampler limits the rate of log lines of one kind and counts the suppressed lines.
package raillogsampler
