// Package railgate implements admission control for one endpoint.
package railgate
