package railstage_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railstage"
)

const (
	pieces    = 8
	pieceSize = 24
)

// engine is a stand-in that keeps pieces and counts how often they are read.
type engine struct {
	mu     sync.Mutex
	staged map[int]string
	reads  int
}

func (e *engine) PutPiece(_ context.Context, _ string, index int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[index] = string(data)
	return nil
}

func (e *engine) Piece(_ context.Context, _ string, index int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reads++
	return []byte(e.staged[index]), nil
}

func (e *engine) StagedPieces(context.Context, string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var held []int
	for i := range e.staged {
		held = append(held, i)
	}
	return held, nil
}

// change changes what lies at the engine.
func (e *engine) change(change func(staged map[int]string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e.staged)
}

func piece(version, index int) string {
	return "piece " + strconv.Itoa(index) + " of version " + strconv.Itoa(version)
}

// weights returns the manifest of a version and its chunks by digest.
func weights(version int) (railmanifest.Manifest, map[string]string) {
	m := railmanifest.Manifest{Version: strconv.Itoa(version), ChunkSize: pieceSize, Size: pieceSize * pieces}
	chunks := map[string]string{}
	for i := range pieces {
		digest := railmanifest.Sum([]byte(piece(version, i)))
		m.Chunks = append(m.Chunks, digest)
		chunks[digest] = piece(version, i)
	}
	return m, chunks
}

func TestWhatLiesAtTheEngineIsWholeAfterEachCompletion(t *testing.T) {
	for name, test := range map[string]struct {
		// pause is the time between the first completion and the second, and change what happens to the pieces meanwhile.
		pause   time.Duration
		change  func(staged map[int]string)
		version int
		put     int
		reads   int
	}{
		"nothing happens":                 {version: 1},
		"long ago":                        {version: 1, pause: time.Minute, reads: pieces},
		"pieces turn bad":                 {version: 1, pause: time.Minute, change: func(s map[int]string) { s[2], s[5] = "bad", "" }, put: 2, reads: pieces},
		"the engine loses power":          {version: 1, change: func(s map[int]string) { clear(s) }, put: pieces},
		"one piece is lost":               {version: 1, change: func(s map[int]string) { delete(s, 3) }, put: 1},
		"another version is wanted":       {version: 2, put: pieces},
		"another version, a minute later": {version: 2, pause: time.Minute, put: pieces},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtual.Test(t, func(t *testing.T) {
				e := &engine{staged: map[int]string{}}
				all := map[string]string{}
				for version := 1; version <= 2; version++ {
					_, chunks := weights(version)
					for digest, data := range chunks {
						all[digest] = data
					}
				}
				s := &railstage.Stager{Engine: e, Chunk: func(_ context.Context, digest string) ([]byte, error) { return []byte(all[digest]), nil }}
				first, _ := weights(1)
				_, err := s.EnsureStaged(t.Context(), "m", first)
				qt.Assert(t, err, qt.IsNil)
				time.Sleep(test.pause)
				if test.change != nil {
					e.change(test.change)
				}
				second, _ := weights(test.version)
				put, err := s.EnsureStaged(t.Context(), "m", second)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, put, qt.Equals, test.put)
				qt.Check(t, e.reads, qt.Equals, test.reads)
				for i := range pieces {
					qt.Check(t, e.staged[i], qt.Equals, piece(test.version, i))
				}
			})
		})
	}
}

func TestSoundPiecesAreTakenOverAndOthersAreNot(t *testing.T) {
	m, _ := weights(1)
	e := &engine{staged: map[int]string{0: piece(1, 0), 1: "bad", 2: piece(2, 2), 7: piece(1, 7)}}
	s := &railstage.Stager{Engine: e}
	var mu sync.Mutex
	taken := map[string]bool{}
	err := s.Recover(t.Context(), "m", m, func(digest string, _ []byte) error {
		mu.Lock()
		defer mu.Unlock()
		taken[digest] = true
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, taken, qt.DeepEquals, map[string]bool{m.Chunks[0]: true, m.Chunks[7]: true})
}
