// Package railbackend describes the services of a deployment whose endpoints are called directly, without an agent on their VMs.
package railbackend
