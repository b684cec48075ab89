// Package railisolator disconnects a process from the platform and its endpoint at once, to simulate a killed or isolated process.
package railisolator
