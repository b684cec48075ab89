package railstage

import (
	"context"
	"slices"

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

// Stage hands pieces over; its fields are set before its first use.
type Stage struct {
	Engine Engine
	// Chunk returns a checked chunk by its digest.
	Chunk func(ctx context.Context, digest string) ([]byte, error)
}

// Recover hands the engine's sound pieces of a manifest to take.
func (s *Stage) Recover(ctx context.Context, model string, m railmanifest.Manifest, take func(digest string, data []byte) error) error {
	places, err := s.Engine.Held(ctx, model)
	if err != nil {
		return errors.Wrap(err, "list the staged pieces")
	}
	for _, i := range places {
		data, err := s.Engine.Piece(ctx, model, i)
		if err != nil {
			return errors.Wrapf(err, "read piece %d back", i)
		}
		if m.Verify(i, data) {
			if err := take(m.Chunks[i], data); err != nil {
				return err
			}
		}
	}
	return nil
}

// Complete puts every piece of a manifest in its place and reads all of them back, since what lies there may turn bad; it
// returns the number of pieces that were put.
func (s *Stage) Complete(ctx context.Context, model string, m railmanifest.Manifest) (int, error) {
	held, err := s.Engine.Held(ctx, model)
	if err != nil {
		return 0, errors.Wrap(err, "list the staged pieces")
	}
	put := 0
	for i := range m.Chunks {
		sound := false
		if slices.Contains(held, i) {
			if sound, err = s.sound(ctx, model, m, i); err != nil {
				return put, err
			}
		}
		if sound {
			continue
		}
		put++
		if err := s.put(ctx, model, m, i); err != nil {
			return put, err
		}
	}
	return put, nil
}

func (s *Stage) put(ctx context.Context, model string, m railmanifest.Manifest, i int) error {
	data, err := s.Chunk(ctx, m.Chunks[i])
	if err != nil {
		return errors.Wrapf(err, "take piece %d", i)
	}
	return errors.Wrapf(s.Engine.PutPiece(ctx, model, i, data), "stage piece %d", i)
}

func (s *Stage) sound(ctx context.Context, model string, m railmanifest.Manifest, i int) (bool, error) {
	data, err := s.Engine.Piece(ctx, model, i)
	if err != nil {
		return false, errors.Wrapf(err, "read piece %d back", i)
	}
	return m.Verify(i, data), nil
}
