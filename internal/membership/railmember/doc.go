// Package railmember describes a process of the system as listed by the platform.
package railmember
