// Package raillimiter adapts the concurrency limit of an endpoint to its latency and errors.
package raillimiter
