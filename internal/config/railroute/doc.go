// Package railroute defines the configuration of a route: which requests it matches and how they are forwarded.
package railroute
