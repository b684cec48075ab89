// Package railactiveconfig holds the configuration in force in a process, which is never replaced by an older one.
package railactiveconfig
