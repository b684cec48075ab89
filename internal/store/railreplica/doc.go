// Package railreplica keeps a local replica of a table in the platform's store and tracks the replica's age.
package railreplica
