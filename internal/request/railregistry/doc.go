// Package railregistry keeps a bounded registry, in memory, of the requests that an incarnation of an agent has begun, ended or revoked.
package railregistry
