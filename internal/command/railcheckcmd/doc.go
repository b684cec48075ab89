// Package railcheckcmd implements the command "config check".
package railcheckcmd
