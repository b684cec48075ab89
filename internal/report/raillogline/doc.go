// Package raillogline reads the structured lines that processes log.
package raillogline
