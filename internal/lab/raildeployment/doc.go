// Package raildeployment runs a complete deployment on loopback in one process,
// with a simulated platform and simulated endpoints, for the demo, experiments
// and tests.
package raildeployment
