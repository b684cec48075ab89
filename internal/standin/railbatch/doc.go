// Package railbatch simulates a model engine with continuous batching, a limited number of slots, passes of several decoding steps,
// and chunked prefill. Its timing comes from a service's configuration.
package railbatch
