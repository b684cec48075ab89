package railstager_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railstager"
)

const (
	pieceCount = 8
	pieceSize  = 24
)

// fakeEngine stores pieces and counts reads.
type fakeEngine struct {
	mu     sync.Mutex
	staged map[int]string
	reads  int
}

func (e *fakeEngine) PutPiece(_ context.Context, _ string, index int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[index] = string(data)
	return nil
}

func (e *fakeEngine) Piece(_ context.Context, _ string, index int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reads++
	return []byte(e.staged[index]), nil
}

func (e *fakeEngine) StagedPieces(context.Context, string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var indexes []int
	for i := range e.staged {
		indexes = append(indexes, i)
	}
	return indexes, nil
}

// mutate changes the staged pieces.
func (e *fakeEngine) mutate(mutation func(staged map[int]string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	mutation(e.staged)
}

func pieceContent(version, index int) string {
	return "piece " + strconv.Itoa(index) + " of version " + strconv.Itoa(version)
}

// versionContent returns the manifest of a version and its chunks by digest.
func versionContent(version int) (railmanifest.Manifest, map[string]string) {
	m := railmanifest.Manifest{Version: strconv.Itoa(version), ChunkSize: pieceSize, Size: pieceSize * pieceCount}
	chunks := map[string]string{}
	for i := range pieceCount {
		digest := railmanifest.Sum([]byte(pieceContent(version, i)))
		m.Chunks = append(m.Chunks, digest)
		chunks[digest] = pieceContent(version, i)
	}
	return m, chunks
}

// newStager returns a stager with a clock of the test's time.
func newStager(e *fakeEngine, chunk func(ctx context.Context, digest string) ([]byte, error)) *railstager.Stager {
	start := time.Now()
	return &railstager.Stager{Engine: e, Chunk: chunk, Now: func() time.Duration { return time.Since(start) }}
}

// stage stages and refreshes all pieces and returns the number of pieces put.
func stage(t *testing.T, s *railstager.Stager, m railmanifest.Manifest) int {
	t.Helper()
	put, err := s.Stage(t.Context(), "m", m)
	qt.Assert(t, err, qt.IsNil)
	refreshed, err := s.Refresh(t.Context(), "m", m, 0, len(m.Chunks))
	qt.Assert(t, err, qt.IsNil)
	return put + refreshed
}

func TestStageAndRefreshRepairStagedPieces(t *testing.T) {
	for name, test := range map[string]struct {
		// pause is the time between the two times that all pieces are staged, and mutate changes the staged pieces after it. put and
		// reads are the expected numbers of pieces put the second time and of pieces read both times.
		pause   time.Duration
		mutate  func(staged map[int]string)
		version int
		put     int
		reads   int
	}{
		"nothing happens":                 {version: 1},
		"long ago":                        {version: 1, pause: time.Minute, reads: pieceCount},
		"pieces turn bad":                 {version: 1, pause: time.Minute, mutate: func(s map[int]string) { s[2], s[5] = "bad", "" }, put: 2, reads: pieceCount},
		"the engine loses power":          {version: 1, mutate: func(s map[int]string) { clear(s) }, put: pieceCount},
		"one piece is lost":               {version: 1, mutate: func(s map[int]string) { delete(s, 3) }, put: 1},
		"another version is wanted":       {version: 2, put: pieceCount},
		"another version, a minute later": {version: 2, pause: time.Minute, put: pieceCount},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				e := &fakeEngine{staged: map[int]string{}}
				chunksByDigest := map[string]string{}
				for version := 1; version <= 2; version++ {
					_, chunks := versionContent(version)
					for digest, data := range chunks {
						chunksByDigest[digest] = data
					}
				}
				s := newStager(e, func(_ context.Context, digest string) ([]byte, error) { return []byte(chunksByDigest[digest]), nil })
				first, _ := versionContent(1)
				stage(t, s, first)
				time.Sleep(test.pause)
				if test.mutate != nil {
					e.mutate(test.mutate)
				}
				second, _ := versionContent(test.version)
				qt.Check(t, stage(t, s, second), qt.Equals, test.put)
				qt.Check(t, e.reads, qt.Equals, test.reads)
				for i := range pieceCount {
					qt.Check(t, e.staged[i], qt.Equals, pieceContent(test.version, i))
				}
			})
		})
	}
}

func TestRecoverReturnsOnlyIntactPieces(t *testing.T) {
	m, _ := versionContent(1)
	e := &fakeEngine{staged: map[int]string{0: pieceContent(1, 0), 1: "bad", 2: pieceContent(2, 2), 7: pieceContent(1, 7)}}
	s := newStager(e, nil)
	var mu sync.Mutex
	recovered := map[string]bool{}
	err := s.Recover(t.Context(), "m", m, func(digest string, _ []byte) error {
		mu.Lock()
		defer mu.Unlock()
		recovered[digest] = true
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, recovered, qt.DeepEquals, map[string]bool{m.Chunks[0]: true, m.Chunks[7]: true})
}
