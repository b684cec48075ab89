package railchunks

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Backend keeps the chunks themselves, as an engine does.
type Backend interface {
	// Chunks returns the digests of the chunks that are held.
	Chunks(ctx context.Context) ([]string, error)
	// PutChunk hands over one checked chunk.
	PutChunk(ctx context.Context, digest string, data []byte) error
	// Chunk returns a chunk that is held.
	Chunk(ctx context.Context, digest string) ([]byte, error)
	// Keep lets all chunks but the given ones be dropped.
	Keep(ctx context.Context, digests []string) error
}

// Store tracks checked chunks by digest; its fields are set before its first use.
type Store struct {
	Backend Backend
	// CacheBytes bounds the recent chunks that are kept in memory for other agents.
	CacheBytes int

	mu       sync.Mutex
	held     map[string]time.Time
	failures map[string]int
	window   map[string][]byte
	recent   []string
	bytes    int
	// awaited holds a channel for each chunk that somebody waits for, which is closed once the chunk is held.
	awaited map[string]chan struct{}
}

// Refresh learns which chunks the engine holds, as after a restart of the agent or the engine.
func (s *Store) Refresh(ctx context.Context) error {
	digests, err := s.Backend.Chunks(ctx)
	if err != nil {
		return errors.Wrap(err, "list the engine's chunks")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	known := s.held
	s.held = make(map[string]time.Time, len(digests))
	for _, digest := range digests {
		since, ok := known[digest]
		if !ok {
			since = time.Now()
		}
		s.held[digest] = since
		s.wake(digest)
	}
	return nil
}

// Has reports whether the engine holds a chunk.
func (s *Store) Has(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.held[digest]
	return ok
}

// Put hands a checked chunk to the engine.
func (s *Store) Put(ctx context.Context, digest string, data []byte) error {
	if err := s.Backend.PutChunk(ctx, digest, data); err != nil {
		return errors.Wrap(err, "hand a chunk to the engine")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.held[digest] = time.Now()
	delete(s.failures, digest)
	s.remember(digest, data)
	s.wake(digest)
	return nil
}

// Get returns a chunk that is held, or an error.
func (s *Store) Get(ctx context.Context, digest string) ([]byte, error) {
	s.mu.Lock()
	data, ok := s.window[digest]
	s.mu.Unlock()
	if ok {
		return data, nil
	}
	return s.Backend.Chunk(ctx, digest)
}

// Wait waits for at most the given time until a chunk is held and reports whether it is.
func (s *Store) Wait(ctx context.Context, digest string, wait time.Duration) bool {
	arrived := s.arrival(digest)
	if arrived == nil || wait <= 0 {
		return arrived == nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case <-arrived:
		return true
	case <-ctx.Done():
		return false
	}
}

// RecordImportFailure notes that this agent failed to import a chunk into its region.
func (s *Store) RecordImportFailure(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.failures[digest]++
}

// Status returns what other agents may know of a chunk without its data.
func (s *Store) Status(digest string) *railproto.ChunkReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &railproto.ChunkReply{ImportFailures: int32(s.failures[digest])}
	if since, ok := s.held[digest]; ok {
		reply.Held = true
		reply.HeldMillis = time.Since(since).Milliseconds()
	}
	return reply
}

// Keep lets the engine drop all chunks but the given ones.
func (s *Store) Keep(ctx context.Context, digests []string) error {
	if err := s.Backend.Keep(ctx, digests); err != nil {
		return errors.Wrap(err, "drop old chunks")
	}
	s.mu.Lock()
	clear(s.awaited) // Those who wait for a chunk that nobody wants any more ask again after their time.
	s.mu.Unlock()
	return s.Refresh(ctx)
}

func (s *Store) init() {
	if s.held == nil {
		s.held = map[string]time.Time{}
		s.failures = map[string]int{}
		s.window = map[string][]byte{}
		s.awaited = map[string]chan struct{}{}
	}
}

// arrival returns a channel that is closed once a chunk is held, or nil when it is held already.
func (s *Store) arrival(digest string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if _, held := s.held[digest]; held {
		return nil
	}
	arrived := s.awaited[digest]
	if arrived == nil {
		arrived = make(chan struct{})
		s.awaited[digest] = arrived
	}
	return arrived
}

// wake tells those that wait for a chunk that it is held.
func (s *Store) wake(digest string) {
	if arrived := s.awaited[digest]; arrived != nil {
		close(arrived)
		delete(s.awaited, digest)
	}
}

func (s *Store) remember(digest string, data []byte) {
	if _, ok := s.window[digest]; ok || len(data) > s.CacheBytes {
		return
	}
	s.window[digest] = data
	s.recent = append(s.recent, digest)
	s.bytes += len(data)
	for s.bytes > s.CacheBytes {
		oldest := s.recent[0]
		s.recent = s.recent[1:]
		s.bytes -= len(s.window[oldest])
		delete(s.window, oldest)
	}
}
