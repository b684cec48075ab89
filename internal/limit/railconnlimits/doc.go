// Package railconnlimits holds the limits of callers' requests and connections.
package railconnlimits
