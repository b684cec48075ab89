// Package railservice defines the configuration of a service.
package railservice
