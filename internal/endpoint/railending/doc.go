// Package railending tells whether the end of a TCP connection was the peer's, or that of a connection that was reset.
package railending
