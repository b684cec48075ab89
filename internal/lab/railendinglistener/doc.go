// Package railendinglistener lets tests end a process's connections as the kernel does when the process ends.
package railendinglistener
