// Package railclock reads a VM's boot clock, which keeps counting while the VM is suspended.
package railclock
