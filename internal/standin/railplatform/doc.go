// Package railplatform simulates the platform: its table service, object store, VM list, and the origin of weights, with outages,
// added latency, rate limits and lost responses.
package railplatform
