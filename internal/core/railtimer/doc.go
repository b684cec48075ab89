// Package railtimer provides the timer service of a process: components
// subscribe to periodic ticks instead of running timers of their own.
package railtimer
