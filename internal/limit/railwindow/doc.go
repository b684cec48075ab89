// Package railwindow counts events in a sliding window of one second.
package railwindow
