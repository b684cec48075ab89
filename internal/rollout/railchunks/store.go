package railchunks

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Backend stores the data of chunks; an engine is one.
type Backend interface {
	// Chunks returns the digests of the stored chunks.
	Chunks(ctx context.Context) ([]string, error)
	// PutChunk stores a verified chunk.
	PutChunk(ctx context.Context, digest string, data []byte) error
	// Chunk returns a stored chunk, or an error when it is not stored.
	Chunk(ctx context.Context, digest string) ([]byte, error)
	// Keep permits the backend to drop all chunks but the given ones.
	Keep(ctx context.Context, digests []string) error
}

// Store tracks the verified chunks of a backend by digest; its exported fields are set before its first use. It is safe for
// concurrent use.
type Store struct {
	Backend Backend
	// CacheBytes bounds the total size of the recent chunks that are cached in memory for other agents, in bytes.
	CacheBytes int

	mu             sync.Mutex
	heldSince      map[string]time.Time
	importFailures map[string]int
	cache          map[string][]byte
	cacheOrder     []string
	cachedBytes    int
	// arrivals holds a channel for each chunk that is waited for, which is closed once the chunk is held.
	arrivals map[string]chan struct{}
}

// Refresh reads the list of held chunks from the backend, for instance after a restart of the agent or the engine. It
// returns the backend's error.
func (s *Store) Refresh(ctx context.Context) error {
	digests, err := s.Backend.Chunks(ctx)
	if err != nil {
		return errors.Wrap(err, "list the backend's chunks")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	previous := s.heldSince
	s.heldSince = make(map[string]time.Time, len(digests))
	for _, digest := range digests {
		since, ok := previous[digest]
		if !ok {
			since = time.Now()
		}
		s.heldSince[digest] = since
		s.notifyArrival(digest)
	}
	return nil
}

// Has reports whether the backend holds a chunk.
func (s *Store) Has(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.heldSince[digest]
	return ok
}

// Verify reads the held chunks of a manifest back from the backend, and takes those that do not match their digests for not held until the next
// Refresh. It returns their number, or the backend's error.
func (s *Store) Verify(ctx context.Context, m railmanifest.Manifest) (corrupt int, err error) {
	for i, digest := range m.Chunks {
		if !s.Has(digest) {
			continue
		}
		data, err := s.Backend.Chunk(ctx, digest)
		if err != nil {
			return corrupt, errors.Wrap(err, "read a chunk back from the backend")
		}
		if !m.Verify(i, data) {
			corrupt++
			s.forget(digest)
		}
	}
	return corrupt, nil
}

// Put stores a verified chunk in the backend and returns the backend's error.
func (s *Store) Put(ctx context.Context, digest string, data []byte) error {
	if err := s.Backend.PutChunk(ctx, digest, data); err != nil {
		return errors.Wrap(err, "store a chunk in the backend")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.heldSince[digest] = time.Now()
	delete(s.importFailures, digest)
	s.addToCache(digest, data)
	s.notifyArrival(digest)
	return nil
}

// Get returns a chunk from the cache or the backend. It returns the backend's error, for instance when the chunk is not held.
func (s *Store) Get(ctx context.Context, digest string) ([]byte, error) {
	s.mu.Lock()
	data, ok := s.cache[digest]
	s.mu.Unlock()
	if ok {
		return data, nil
	}
	return s.Backend.Chunk(ctx, digest)
}

// Wait blocks until a chunk is held, the timeout expires or ctx is done, and reports whether the chunk is held.
func (s *Store) Wait(ctx context.Context, digest string, timeout time.Duration) bool {
	arrived := s.arrivalChan(digest)
	if arrived == nil || timeout <= 0 {
		return arrived == nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-arrived:
		return true
	case <-ctx.Done():
		return false
	}
}

// RecordImportFailure counts a failed attempt of this agent to import a chunk into its region.
func (s *Store) RecordImportFailure(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.importFailures[digest]++
}

// Status returns the state of a chunk without its data: whether it is held, for how long, and the failed imports.
func (s *Store) Status(digest string) *railproto.ChunkReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &railproto.ChunkReply{ImportFailures: int32(s.importFailures[digest])}
	if since, ok := s.heldSince[digest]; ok {
		reply.Held = true
		reply.HeldMillis = time.Since(since).Milliseconds()
	}
	return reply
}

// Keep permits the backend to drop all chunks but the given ones and refreshes the list. It returns the backend's error.
func (s *Store) Keep(ctx context.Context, digests []string) error {
	if err := s.Backend.Keep(ctx, digests); err != nil {
		return errors.Wrap(err, "drop old chunks")
	}
	s.mu.Lock()
	clear(s.arrivals) // All waiters time out and may ask again; most wait for chunks that are no longer wanted.
	s.mu.Unlock()
	return s.Refresh(ctx)
}

func (s *Store) init() {
	if s.heldSince == nil {
		s.heldSince = map[string]time.Time{}
		s.importFailures = map[string]int{}
		s.cache = map[string][]byte{}
		s.arrivals = map[string]chan struct{}{}
	}
}

// arrivalChan returns a channel that is closed once a chunk is held, or nil when it is held already.
func (s *Store) arrivalChan(digest string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if _, held := s.heldSince[digest]; held {
		return nil
	}
	arrived := s.arrivals[digest]
	if arrived == nil {
		arrived = make(chan struct{})
		s.arrivals[digest] = arrived
	}
	return arrived
}

func (s *Store) forget(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.heldSince, digest)
}

// notifyArrival wakes those that wait for a chunk. The caller holds the lock.
func (s *Store) notifyArrival(digest string) {
	if arrived := s.arrivals[digest]; arrived != nil {
		close(arrived)
		delete(s.arrivals, digest)
	}
}

// addToCache caches a chunk and evicts the oldest ones beyond CacheBytes. The caller holds the lock.
func (s *Store) addToCache(digest string, data []byte) {
	if _, ok := s.cache[digest]; ok || len(data) > s.CacheBytes {
		return
	}
	s.cache[digest] = data
	s.cacheOrder = append(s.cacheOrder, digest)
	s.cachedBytes += len(data)
	for s.cachedBytes > s.CacheBytes {
		oldest := s.cacheOrder[0]
		s.cacheOrder = s.cacheOrder[1:]
		s.cachedBytes -= len(s.cache[oldest])
		delete(s.cache, oldest)
	}
}
