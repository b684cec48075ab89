// Package railobjective defines the configuration of a service-level objective.
package railobjective
