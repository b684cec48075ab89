// Package railtable defines the interface to the platform's table service.
package railtable
