// Package railanswer holds the answer that a client received to one request.
package railanswer
