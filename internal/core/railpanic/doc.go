// Package railpanic contains a panic in one unit of work, such as a request or a datagram, so that it does not end the process and all others.
package railpanic
