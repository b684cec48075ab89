// Package railcatalog holds the configuration in force for callers: routes, services, customers' keys, zones that are taken
// out, and the versions of weights that are wanted.
package railcatalog
