// Package railini parses INI files and records the file and line of each key.
package railini
