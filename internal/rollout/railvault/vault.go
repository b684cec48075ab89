package railvault

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// MemoryStore is safe for concurrent use; the zero value is empty.
type MemoryStore struct {
	mu     sync.Mutex
	chunks map[string][]byte
}

// Chunks returns the digests of the chunks that are held.
func (v *MemoryStore) Chunks(context.Context) ([]string, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Collect(maps.Keys(v.chunks)), nil
}

// PutChunk keeps one checked chunk.
func (v *MemoryStore) PutChunk(_ context.Context, digest string, data []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.chunks == nil {
		v.chunks = map[string][]byte{}
	}
	v.chunks[digest] = data
	return nil
}

// Chunk returns a chunk that is held, or an error.
func (v *MemoryStore) Chunk(_ context.Context, digest string) ([]byte, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	data, ok := v.chunks[digest]
	if !ok {
		return nil, errors.Newf("chunk %s is not held", digest)
	}
	return data, nil
}

// Keep drops all chunks but the given ones.
func (v *MemoryStore) Keep(_ context.Context, digests []string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	kept := make(map[string][]byte, len(digests))
	for _, d := range digests {
		if data, ok := v.chunks[d]; ok {
			kept[d] = data
		}
	}
	v.chunks = kept
	return nil
}
