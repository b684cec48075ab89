// Package railbackend describes the services of a deployment whose endpoints are called directly rather than through an agent.
package railbackend
