// Package railstandins runs the simulated services of a layout in one process:
// the platform, the endpoints and the links between regions.
package railstandins
