// Package railadmin serves the metrics of a process over HTTP.
package railadmin
