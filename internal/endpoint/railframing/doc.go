// Package railframing tells where the header of an HTTP response ends, and whether the header is one that a proxy may act on.
package railframing
