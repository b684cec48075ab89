// Package railexchange performs a single HTTP exchange with an endpoint on a dedicated connection. It tells whether the request may
// have run and whether the response was complete.
package railexchange
