package railobjects

import "context"

// Objects is a store of named objects with immutable content.
type Objects interface {
	// Read returns an object's content.
	Read(ctx context.Context, name string) ([]byte, error)
	// Write stores an object's content. After an error the object may have been stored or not.
	Write(ctx context.Context, name string, content []byte) error
}
