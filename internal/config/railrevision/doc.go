// Package railrevision holds the accepted revisions of the configuration directory and derives each one from its predecessor.
package railrevision
