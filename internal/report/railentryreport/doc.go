// Package railentryreport defines the status report of an entry.
package railentryreport
