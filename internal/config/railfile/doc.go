// Package railfile defines one file of the operators' configuration directory.
package railfile
