package railstage

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
)

// Engine keeps pieces by their place; what it returns may have turned bad.
type Engine interface {
	PutPiece(ctx context.Context, model string, index int, data []byte) error
	Piece(ctx context.Context, model string, index int) ([]byte, error)
	// Held returns the places of the pieces that the engine has.
	Held(ctx context.Context, model string) ([]int, error)
}

// Stage keeps the chunks of one manifest at the engine; its fields are set before its first use.
type Stage struct {
	Engine Engine

	mu       sync.Mutex
	model    string
	manifest railmanifest.Manifest
}

// SetManifest changes the manifest whose chunks are kept.
func (s *Stage) SetManifest(model string, m railmanifest.Manifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model, s.manifest = model, m
}

// Chunks returns the digests of the manifest's chunks that the engine has and that are sound.
func (s *Stage) Chunks(ctx context.Context) ([]string, error) {
	model, m := s.current()
	places, err := s.Engine.Held(ctx, model)
	if err != nil {
		return nil, errors.Wrap(err, "list the staged pieces")
	}
	var sound []string
	for _, i := range places {
		data, err := s.Engine.Piece(ctx, model, i)
		if err != nil {
			return nil, errors.Wrapf(err, "read piece %d back", i)
		}
		if m.Verify(i, data) {
			sound = append(sound, m.Chunks[i])
		}
	}
	return sound, nil
}

// PutChunk stages one checked chunk of the manifest.
func (s *Stage) PutChunk(ctx context.Context, digest string, data []byte) error {
	model, m := s.current()
	i := m.Index(digest)
	if i < 0 {
		return errors.Newf("chunk %s is not of the version wanted now", digest)
	}
	return s.Engine.PutPiece(ctx, model, i, data)
}

// Chunk returns a sound chunk of the manifest that the engine has.
func (s *Stage) Chunk(ctx context.Context, digest string) ([]byte, error) {
	model, m := s.current()
	i := m.Index(digest)
	if i < 0 {
		return nil, errors.Newf("chunk %s is not of the version wanted now", digest)
	}
	data, err := s.Engine.Piece(ctx, model, i)
	if err == nil && !m.Verify(i, data) {
		err = errors.Newf("piece %d has turned bad", i)
	}
	return data, err
}

// Keep does nothing: a later version's pieces take the places of an earlier one's.
func (s *Stage) Keep(context.Context, []string) error {
	return nil
}

func (s *Stage) current() (string, railmanifest.Manifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model, s.manifest
}
