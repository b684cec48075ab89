// Package railrevisioncache caches the newest known revision of the configuration in a process, with the time at which it was last confirmed
// to be current.
package railrevisioncache
