package railmemstore

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// MemoryStore stores chunks in memory. It is safe for concurrent use; the zero value is empty.
type MemoryStore struct {
	mu     sync.Mutex
	chunks map[string][]byte
}

// Chunks returns the digests of the stored chunks; the error is always nil.
func (s *MemoryStore) Chunks(context.Context) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.chunks)), nil
}

// PutChunk stores a verified chunk; the error is always nil.
func (s *MemoryStore) PutChunk(_ context.Context, digest string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chunks == nil {
		s.chunks = map[string][]byte{}
	}
	s.chunks[digest] = data
	return nil
}

// Chunk returns a stored chunk, or an error when it is not stored.
func (s *MemoryStore) Chunk(_ context.Context, digest string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.chunks[digest]
	if !ok {
		return nil, errors.Newf("chunk %s is not held", digest)
	}
	return data, nil
}

// Keep drops all chunks but the given ones; the error is always nil.
func (s *MemoryStore) Keep(_ context.Context, digests []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make(map[string][]byte, len(digests))
	for _, digest := range digests {
		if data, ok := s.chunks[digest]; ok {
			kept[digest] = data
		}
	}
	s.chunks = kept
	return nil
}
