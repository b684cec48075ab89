// Package railframing tells where the header of an HTTP response ends, and whether it is clear on where the body ends.
package railframing
