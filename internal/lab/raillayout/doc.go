// Package raillayout assigns loopback ports to the processes, simulated services
// and inter-region links of a deployment.
package raillayout
