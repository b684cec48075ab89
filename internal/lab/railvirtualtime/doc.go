// Package railvirtualtime runs tests in virtual time.
package railvirtualtime
