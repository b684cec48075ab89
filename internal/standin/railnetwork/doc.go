// Package railnetwork implements an in-memory network for tests in virtual time, with latency, connection resets and partitions.
package railnetwork
