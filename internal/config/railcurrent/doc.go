// Package railcurrent holds the configuration in force in a process; it never goes back to an older one.
package railcurrent
