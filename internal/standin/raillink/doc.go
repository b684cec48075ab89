// Package raillink simulates a network link with a TCP relay that adds latency, limits the bandwidth and can interrupt the link.
package raillink
