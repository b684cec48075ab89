// Package railpeer is one process's part in the exchange of a model's weights: it draws chunks from the origin, takes those that
// others have, and passes on its own.
package railpeer
