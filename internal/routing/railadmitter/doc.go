// Package railadmitter decides who gets an endpoint that is called directly, who waits for one, and who is refused at once.
package railadmitter
