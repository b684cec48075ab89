// Package railwindow bounds the number of events in any one second.
package railwindow
