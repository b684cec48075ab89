package railstager

import (
	"cmp"
	"context"
	"math"
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
	// Unverified is the age of the verification of a piece that was never verified, or was found to be corrupt.
	Unverified time.Duration = math.MaxInt64
	// latePutTime is the time for which a put that was not answered may still be carried out.
	latePutTime = time.Minute
	// pieceTimeout bounds the time to put or read one piece, which may be long on a slow VM.
	pieceTimeout = 5 * time.Second
	// maxConcurrentCalls is the number of pieces that are put or read concurrently.
	maxConcurrentCalls = 16
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

// Stager stages pieces on one engine and verifies them. Its exported fields must be set before its first use.
type Stager struct {
	Engine Engine
	// Chunk returns the verified chunk with the given digest.
	Chunk func(ctx context.Context, digest string) ([]byte, error)
	// Now returns the time of a clock that also runs while this VM is suspended, since pieces can become corrupt meanwhile.
	Now func() time.Duration

	mu sync.Mutex
	// verified holds the last verification of each piece, by index.
	verified map[int]verification
	// putEvents is the number of puts that have begun or ended.
	putEvents int64
	// unanswered holds the puts of each piece that were not answered, and may still be carried out.
	unanswered map[int][]unansweredPut
	// earlierPutsUntil is the time until which puts of an earlier process may be carried out.
	earlierPutsUntil time.Duration
}

// verification records that a staged piece had a digest at some moment after at.
type verification struct {
	digest string
	at     time.Duration
}

// Recover passes each staged piece that matches the manifest to store. It returns the first error of the engine or of store.
func (s *Stager) Recover(ctx context.Context, model string, m railmanifest.Manifest, store func(digest string, data []byte) error) error {
	indexes, err := s.Engine.StagedPieces(ctx, model)
	if err != nil {
		return errors.Wrap(err, "list the staged pieces")
	}
	return forEachPiece(ctx, indexes, func(ctx context.Context, i int) error {
		data, intact, err := s.read(ctx, model, m, i)
		if err != nil || !intact {
			return err
		}
		return store(m.Chunks[i], data)
	})
}

// Stage stages all pieces of a manifest that are missing or differ. A call after one that failed goes on where that one has ended. It
// returns the number of pieces put.
func (s *Stager) Stage(ctx context.Context, model string, m railmanifest.Manifest) (int, error) {
	stagedIndexes, err := s.Engine.StagedPieces(ctx, model)
	if err != nil {
		return 0, errors.Wrap(err, "list the staged pieces")
	}
	s.notePieces(len(stagedIndexes))
	indexes := make([]int, len(m.Chunks))
	for i := range indexes {
		indexes[i] = i
	}
	var putCount atomic.Int64
	err = forEachPiece(ctx, indexes, func(ctx context.Context, i int) error {
		intact, err := s.wasIntact(ctx, model, m, i, slices.Contains(stagedIndexes, i))
		if err != nil || intact {
			return err
		}
		putCount.Add(1)
		return s.put(ctx, model, m, i)
	})
	return int(putCount.Load()), err
}

// Refresh verifies the pieces from first up to end whose last verification is older than verificationTTL, the oldest first, and stages
// them again if they have become corrupt. It returns the number of pieces put.
func (s *Stager) Refresh(ctx context.Context, model string, m railmanifest.Manifest, first, end int) (int, error) {
	var indexes []int
	for i := first; i < end; i++ {
		if s.Age(m, i, i+1) >= verificationTTL {
			indexes = append(indexes, i)
		}
	}
	slices.SortStableFunc(indexes, func(i, j int) int { return cmp.Compare(s.lastVerification(i).at, s.lastVerification(j).at) })
	var putCount atomic.Int64
	err := forEachPiece(ctx, indexes, func(ctx context.Context, i int) error {
		_, intact, err := s.read(ctx, model, m, i)
		if err != nil || intact {
			return err
		}
		putCount.Add(1)
		return s.put(ctx, model, m, i)
	})
	return int(putCount.Load()), err
}

// Audit reads the pieces from first up to end and returns how many of them are missing or corrupt. It changes none. A piece that is intact
// has been so since it was put.
func (s *Stager) Audit(ctx context.Context, model string, m railmanifest.Manifest, first, end int) (int, error) {
	stagedIndexes, err := s.Engine.StagedPieces(ctx, model)
	if err != nil {
		return 0, errors.Wrap(err, "list the staged pieces")
	}
	var corrupt atomic.Int64
	var indexes []int
	for i := first; i < end; i++ {
		if slices.Contains(stagedIndexes, i) {
			indexes = append(indexes, i)
		} else {
			s.forget(i)
			corrupt.Add(1)
		}
	}
	err = forEachPiece(ctx, indexes, func(ctx context.Context, i int) error {
		_, intact, err := s.read(ctx, model, m, i)
		if err == nil && !intact {
			corrupt.Add(1)
		}
		return err
	})
	return int(corrupt.Load()), err
}

// Age returns the time since the oldest verification of the pieces from first up to end. It is Unverified if one of them was never
// verified, or as a piece of other weights.
func (s *Stager) Age(m railmanifest.Manifest, first, end int) time.Duration {
	now := s.Now()
	oldest := time.Duration(0)
	for i := first; i < end; i++ {
		last := s.lastVerification(i)
		if last.digest != m.Chunks[i] {
			return Unverified
		}
		oldest = max(oldest, now-last.at)
	}
	return oldest
}

// Forget drops all verifications, since the engine has started again and may have lost its staged pieces. It carries out no earlier put any more.
func (s *Stager) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.verified)
	clear(s.unanswered)
	s.earlierPutsUntil = 0
}

// read reads the staged piece with index i and reports whether it matches the manifest.
func (s *Stager) read(ctx context.Context, model string, m railmanifest.Manifest, i int) (data []byte, intact bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pieceTimeout)
	defer cancel()
	began := s.Now()
	data, err = s.Engine.Piece(ctx, model, i)
	switch {
	case err != nil:
		return nil, false, errors.Wrapf(err, "read staged piece %d", i)
	case !m.Verify(i, data):
		s.forget(i)
		return nil, false, nil
	}
	s.recordVerified(i, m.Chunks[i], began)
	return data, true, nil
}

// wasIntact reports whether piece i is staged and matched the manifest when it was last put or verified; staged tells whether the engine
// lists it. It reads a piece of which nothing is known.
func (s *Stager) wasIntact(ctx context.Context, model string, m railmanifest.Manifest, i int, staged bool) (bool, error) {
	last := s.lastVerification(i)
	if !staged || last.digest != "" {
		return staged && last.digest == m.Chunks[i], nil
	}
	_, intact, err := s.read(ctx, model, m, i)
	return intact, err
}

func (s *Stager) lastVerification(i int) verification {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verified[i]
}

func (s *Stager) recordVerified(i int, digest string, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.verified == nil {
		s.verified = map[int]verification{}
	}
	s.verified[i] = verification{digest: digest, at: at}
}

func (s *Stager) forget(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.verified, i)
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
