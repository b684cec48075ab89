// Package railfolder reads the operators' configuration directory.
package railfolder
