package raildigestset

import "sync"

// Set is a set of digests of manifests. An engine whose weights have one of these digests has loaded exactly what the manifest lists. The zero
// value is empty. It is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	digests map[string]bool
}

// Add adds the digest of a manifest.
func (s *Set) Add(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.digests == nil {
		s.digests = map[string]bool{}
	}
	s.digests[digest] = true
}

// Has reports whether a digest was added.
func (s *Set) Has(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digests[digest]
}
