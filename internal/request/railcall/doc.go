// Package railcall represents a request at an agent together with the frames of its response, which any number of followers may read
// while it is incomplete.
package railcall
