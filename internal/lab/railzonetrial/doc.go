// Package railzonetrial takes a zone out of service and back under load, optionally during a rollout, and checks and measures the
// answers that clients received.
package railzonetrial
