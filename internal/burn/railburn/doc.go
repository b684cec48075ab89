// Package railburn counts the requests that met or missed each service-level
// objective at one entry, per minute.
package railburn
