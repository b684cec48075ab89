package railstager

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
	// verificationTTL is how long a piece counts as intact after it was put or verified; pieces can become corrupt at the engine.
	verificationTTL = 1500 * time.Millisecond
	// maxConcurrentCalls is the number of pieces that are put or read concurrently.
	maxConcurrentCalls = 4
)

// Engine stores the staged pieces by model and index. A stored piece may become corrupt.
type Engine interface {
	// PutPiece stages a piece, and replaces one with the same index.
	PutPiece(ctx context.Context, model string, index int, data []byte) error
	// Piece reads a staged piece, which is not verified.
	Piece(ctx context.Context, model string, index int) ([]byte, error)
	// StagedPieces returns the indexes of the staged pieces.
	StagedPieces(ctx context.Context, model string) ([]int, error)
}

// Stager stages pieces on one engine and verifies them. Its fields must be set before its first use.
type Stager struct {
	Engine Engine
	// Chunk returns the verified chunk with the given digest.
	Chunk func(ctx context.Context, digest string) ([]byte, error)

	mu sync.Mutex
	// verified holds the last verification of each piece, by index.
	verified map[int]verification
}

// verification records the digest of a staged piece and when it was put or verified.
type verification struct {
	digest string
	at     time.Time
}

// Recover passes each staged piece that matches the manifest to store. It returns the first error of the engine or of store.
func (s *Stager) Recover(ctx context.Context, model string, m railmanifest.Manifest, store func(digest string, data []byte) error) error {
	indexes, err := s.Engine.StagedPieces(ctx, model)
	if err != nil {
		return errors.Wrap(err, "list the staged pieces")
	}
	return forEachPiece(ctx, indexes, func(ctx context.Context, i int) error {
		data, err := s.Engine.Piece(ctx, model, i)
		if err != nil {
			return errors.Wrapf(err, "read staged piece %d", i)
		}
		if !m.Verify(i, data) {
			return nil
		}
		s.recordVerified(i, m.Chunks[i])
		return store(m.Chunks[i], data)
	})
}

// EnsureStaged stages all pieces of a manifest that are missing or differ. It verifies again the pieces whose last verification is
// older than verificationTTL, since they may have become corrupt. It returns the number of pieces put.
func (s *Stager) EnsureStaged(ctx context.Context, model string, m railmanifest.Manifest) (int, error) {
	stagedIndexes, err := s.Engine.StagedPieces(ctx, model)
	if err != nil {
		return 0, errors.Wrap(err, "list the staged pieces")
	}
	indexes := make([]int, len(m.Chunks))
	for i := range indexes {
		indexes[i] = i
	}
	var putCount atomic.Int64
	err = forEachPiece(ctx, indexes, func(ctx context.Context, i int) error {
		intact, err := s.isIntact(ctx, model, m, i, slices.Contains(stagedIndexes, i))
		if err != nil || intact {
			return err
		}
		putCount.Add(1)
		return s.put(ctx, model, m, i)
	})
	return int(putCount.Load()), err
}

// put stages the piece with index i.
func (s *Stager) put(ctx context.Context, model string, m railmanifest.Manifest, i int) error {
	data, err := s.Chunk(ctx, m.Chunks[i])
	if err != nil {
		return errors.Wrapf(err, "read the chunk of piece %d", i)
	}
	if err := s.Engine.PutPiece(ctx, model, i, data); err != nil {
		return errors.Wrapf(err, "stage piece %d", i)
	}
	s.recordVerified(i, m.Chunks[i])
	return nil
}

// isIntact reports whether piece i is staged and matches the manifest; staged tells whether the engine lists it. It reads the piece
// unless the last verification is recent or of another digest.
func (s *Stager) isIntact(ctx context.Context, model string, m railmanifest.Manifest, i int, staged bool) (bool, error) {
	last := s.lastVerification(i)
	switch {
	case !staged, last.digest != "" && last.digest != m.Chunks[i]:
		return false, nil
	case last.digest == m.Chunks[i] && time.Since(last.at) < verificationTTL:
		return true, nil
	}
	data, err := s.Engine.Piece(ctx, model, i)
	if err != nil {
		return false, errors.Wrapf(err, "read staged piece %d", i)
	}
	if !m.Verify(i, data) {
		return false, nil
	}
	s.recordVerified(i, m.Chunks[i])
	return true, nil
}

func (s *Stager) lastVerification(i int) verification {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verified[i]
}

func (s *Stager) recordVerified(i int, digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.verified == nil {
		s.verified = map[int]verification{}
	}
	s.verified[i] = verification{digest: digest, at: time.Now()}
}

// forEachPiece calls fn for each index, up to maxConcurrentCalls at a time, and returns the first error.
func forEachPiece(ctx context.Context, indexes []int, fn func(ctx context.Context, i int) error) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentCalls)
	for _, i := range indexes {
		group.Go(func() error { return fn(ctx, i) })
	}
	return group.Wait()
}
