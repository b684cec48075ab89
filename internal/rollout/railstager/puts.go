package railstager

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
)

// unansweredPut is a put of the chunk with a digest that was given up at some time.
type unansweredPut struct {
	digest string
	at     time.Duration
}

// notePieces ends the expectation of an earlier process's puts if the engine has no pieces at all, as in a cold start.
func (s *Stager) notePieces(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if count == 0 {
		s.earlierPutsUntil = 0
	}
}

// ExpectEarlierPuts must be called when this process finds an engine to which an earlier process may have put pieces: some of its puts may still be
// carried out, of any content.
func (s *Stager) ExpectEarlierPuts() {
	until := s.Now() + latePutTime
	s.mu.Lock()
	defer s.mu.Unlock()
	s.earlierPutsUntil = until
}

// PutEvents returns a number that grows with each put that begins or ends.
func (s *Stager) PutEvents() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putEvents
}

// MayDifferLater reports whether one of the pieces from first up to end may still be replaced by other content, by a put that was not answered or that was
// an earlier process's. Then what was verified before an order proves nothing.
func (s *Stager) MayDifferLater(m railmanifest.Manifest, first, end int) bool {
	return s.mayHaveEarlierPuts() || s.hasUnanswered(m, first, end, false)
}

// MayHealLater reports whether one of the pieces from first up to end may still become intact, by a put that was not answered. Then what an audit finds
// intact may have been corrupt when it was loaded.
func (s *Stager) MayHealLater(m railmanifest.Manifest, first, end int) bool {
	return s.hasUnanswered(m, first, end, true)
}

func (s *Stager) mayHaveEarlierPuts() bool {
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.earlierPutsUntil
}

// hasUnanswered reports whether a put of one of the pieces from first up to end may still be carried out, of the manifest's content or of other.
func (s *Stager) hasUnanswered(m railmanifest.Manifest, first, end int, same bool) bool {
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := first; i < end; i++ {
		for _, put := range s.unanswered[i] {
			if now-put.at < latePutTime && (put.digest == m.Chunks[i]) == same {
				return true
			}
		}
	}
	return false
}

func (s *Stager) countPut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putEvents++
}

func (s *Stager) recordUnanswered(i int, digest string) {
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unanswered == nil {
		s.unanswered = map[int][]unansweredPut{}
	}
	list := slices.DeleteFunc(s.unanswered[i], func(put unansweredPut) bool { return put.digest == digest || now-put.at >= latePutTime })
	s.unanswered[i] = append(list, unansweredPut{digest: digest, at: now})
}

// put stages the piece with index i.
func (s *Stager) put(ctx context.Context, model string, m railmanifest.Manifest, i int) error {
	data, err := s.Chunk(ctx, m.Chunks[i])
	if err != nil {
		return errors.Wrapf(err, "read the chunk of piece %d", i)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	// A put that has begun is not given up with its pass, since it may be carried out all the same.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pieceTimeout)
	defer cancel()
	began := s.Now()
	s.forget(i)
	s.countPut()
	defer s.countPut()
	if err := s.Engine.PutPiece(ctx, model, i, data); err != nil {
		s.recordUnanswered(i, m.Chunks[i])
		return errors.Wrapf(err, "stage piece %d", i)
	}
	s.recordVerified(i, m.Chunks[i], began)
	return nil
}
