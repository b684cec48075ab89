// Package railgateway implements an entry that calls endpoints directly, without agents. It parses callers' requests, matches
// each one to a route and a customer, forwards it to an endpoint and relays the response.
package railgateway
