package railtable

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Table is a set of rows with conditional writes; a row's version grows with each write and 0 means that it is absent.
type Table interface {
	// Get returns a row's value and version, or version 0 for an absent row.
	Get(ctx context.Context, key string) (value []byte, version int64, err error)
	// Put writes a row whose version is the given one and returns the new version; ErrConflict means that it is not.
	Put(ctx context.Context, key string, value []byte, version int64) (int64, error)
}

var (
	// ErrConflict means that a row's version is not the expected one and that nothing was written.
	ErrConflict = errors.New("the row has another version")
	// ErrRefused means that the platform refused the call and that nothing was written.
	ErrRefused = errors.New("the platform refused the call")
	// ErrUnknown means that the call's answer was lost and that a write may have taken effect.
	ErrUnknown = errors.New("the platform's answer was lost")
)
