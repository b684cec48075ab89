// Package railspec validates the merged content of the operators' configuration directory.
package railspec
