// Package railbatch stands in for a model engine that batches continuously, with the timing that a service's configuration
// states: passes of several steps, prompts read in pieces between them, slots.
package railbatch
