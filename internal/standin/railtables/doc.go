// Package railtables keeps tables of versioned rows in memory, with a history of their changes.
package railtables
