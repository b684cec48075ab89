// Package railclock tells the time since the machine's start, in which the time of a suspension counts.
package railclock
