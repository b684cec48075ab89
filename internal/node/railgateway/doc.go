// Package railgateway runs an entry that calls endpoints directly, without agents beside them: it reads callers' requests,
// finds their route and customer, takes them to an endpoint and passes the answer on as it comes.
package railgateway
