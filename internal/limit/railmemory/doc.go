// Package railmemory bounds the memory that a process uses for one purpose.
package railmemory
