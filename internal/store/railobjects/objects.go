package railobjects

import "context"

// Objects is a store of immutable contents by name.
type Objects interface {
	// Read returns an object's content, or an error.
	Read(ctx context.Context, name string) ([]byte, error)
	// Write stores an object's content, or returns an error after which it may have been stored.
	Write(ctx context.Context, name string, content []byte) error
}
