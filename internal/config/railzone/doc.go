// Package railzone defines the configuration of an availability zone.
package railzone
