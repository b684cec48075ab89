package railstage

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
)

const (
	// soundFor is the time for which a piece that was put or read back counts as sound: what lies at the engine may turn bad.
	soundFor = 1500 * time.Millisecond
	// callsAtOnce is the number of pieces that are put or read back at once.
	callsAtOnce = 4
)

// Engine keeps pieces by their place; what it returns may have turned bad.
type Engine interface {
	PutPiece(ctx context.Context, model string, index int, data []byte) error
	Piece(ctx context.Context, model string, index int) ([]byte, error)
	// Held returns the places of the pieces that the engine has.
	StagedPieces(ctx context.Context, model string) ([]int, error)
}

// Stager hands pieces over; its fields are set before its first use.
type Stager struct {
	Engine Engine
	// Chunk returns a checked chunk by its digest.
	Chunk func(ctx context.Context, digest string) ([]byte, error)

	mu sync.Mutex
	// seen holds for each place what was put there or read back from there last.
	seen map[int]sighting
}

// sighting is a piece as it lay in its place at a time.
type sighting struct {
	digest string
	at     time.Time
}

// Recover hands the engine's sound pieces of a manifest to take.
func (s *Stager) Recover(ctx context.Context, model string, m railmanifest.Manifest, take func(digest string, data []byte) error) error {
	places, err := s.Engine.StagedPieces(ctx, model)
	if err != nil {
		return errors.Wrap(err, "list the staged pieces")
	}
	return each(ctx, places, func(ctx context.Context, i int) error {
		data, err := s.Engine.Piece(ctx, model, i)
		if err != nil {
			return errors.Wrapf(err, "read piece %d back", i)
		}
		if !m.Verify(i, data) {
			return nil
		}
		s.see(i, m.Chunks[i])
		return take(m.Chunks[i], data)
	})
}

// EnsureStaged puts every piece of a manifest in its place and reads back those that have lain there for long, since what lies
// there may turn bad; it returns the number of pieces that were put.
func (s *Stager) EnsureStaged(ctx context.Context, model string, m railmanifest.Manifest) (int, error) {
	held, err := s.Engine.StagedPieces(ctx, model)
	if err != nil {
		return 0, errors.Wrap(err, "list the staged pieces")
	}
	places := make([]int, len(m.Chunks))
	for i := range places {
		places[i] = i
	}
	var put atomic.Int64
	err = each(ctx, places, func(ctx context.Context, i int) error {
		sound, err := s.sound(ctx, model, m, i, slices.Contains(held, i))
		if err != nil || sound {
			return err
		}
		put.Add(1)
		return s.put(ctx, model, m, i)
	})
	return int(put.Load()), err
}

func (s *Stager) put(ctx context.Context, model string, m railmanifest.Manifest, i int) error {
	data, err := s.Chunk(ctx, m.Chunks[i])
	if err != nil {
		return errors.Wrapf(err, "take piece %d", i)
	}
	if err := s.Engine.PutPiece(ctx, model, i, data); err != nil {
		return errors.Wrapf(err, "stage piece %d", i)
	}
	s.see(i, m.Chunks[i])
	return nil
}

// sound reports whether the piece of a manifest lies in its place.
func (s *Stager) sound(ctx context.Context, model string, m railmanifest.Manifest, i int, held bool) (bool, error) {
	last := s.last(i)
	switch {
	case !held, last.digest != "" && last.digest != m.Chunks[i]:
		return false, nil
	case last.digest == m.Chunks[i] && time.Since(last.at) < soundFor:
		return true, nil
	}
	data, err := s.Engine.Piece(ctx, model, i)
	if err != nil {
		return false, errors.Wrapf(err, "read piece %d back", i)
	}
	if !m.Verify(i, data) {
		return false, nil
	}
	s.see(i, m.Chunks[i])
	return true, nil
}

func (s *Stager) last(i int) sighting {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[i]
}

func (s *Stager) see(i int, digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen == nil {
		s.seen = map[int]sighting{}
	}
	s.seen[i] = sighting{digest: digest, at: time.Now()}
}

// each does something for each place, a few at once, and returns the first error.
func each(ctx context.Context, places []int, do func(ctx context.Context, i int) error) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(callsAtOnce)
	for _, i := range places {
		group.Go(func() error { return do(ctx, i) })
	}
	return group.Wait()
}
