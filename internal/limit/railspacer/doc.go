// Package railspacer spaces requests so that an endpoint gets no more per second than it takes.
package railspacer
