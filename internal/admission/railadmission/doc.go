// Package railadmission implements admission control for one endpoint.
package railadmission
