// Package railrolloutcase runs the cases of the rollout tests, which are spread over several packages so that they run in parallel.
package railrolloutcase
