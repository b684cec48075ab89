// Package railclaim ensures that a caller's idempotency key is used for at most one run across all agents, by claiming it in the table
// service.
package railclaim
