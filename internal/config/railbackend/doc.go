// Package railbackend holds what the configuration says of a service whose endpoints are called directly, without an agent
// beside them.
package railbackend
