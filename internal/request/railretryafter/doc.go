// Package railretryafter parses the time for which an endpoint that has turned a request away wants no others.
package railretryafter
