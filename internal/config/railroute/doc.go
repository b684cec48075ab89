// Package railroute holds what the configuration says of one route: which requests it takes and how they may be forwarded.
package railroute
