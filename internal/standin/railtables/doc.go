// Package railtables implements in-memory tables of versioned rows, with a bounded history of their changes.
package railtables
