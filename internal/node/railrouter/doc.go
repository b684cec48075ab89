// Package railrouter implements an entry without its HTTP interface: it keeps the configuration and the state of endpoints current,
// and routes requests to endpoints.
package railrouter
