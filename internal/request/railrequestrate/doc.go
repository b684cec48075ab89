// Package railrequestrate parses the header in which an endpoint names how many requests it takes.
package railrequestrate
