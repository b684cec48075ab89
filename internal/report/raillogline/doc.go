// Package raillogline parses the JSON log lines of processes.
package raillogline
