// Package railfleet balances requests over the endpoints that entries call directly. It tracks the requests in flight at each
// endpoint, from this entry and from the others, and picks the endpoint with the earliest predicted start of the response.
package railfleet
