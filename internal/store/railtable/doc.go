// Package railtable is the system's view of the platform's table service.
package railtable
