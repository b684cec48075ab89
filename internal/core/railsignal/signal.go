package railsignal

import "sync"

// Signal is safe for concurrent use; the zero value is ready.
type Signal struct {
	mu      sync.Mutex
	waiting chan struct{}
}

// Changed returns a channel that is closed at the next change.
func (s *Signal) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = make(chan struct{})
	}
	return s.waiting
}

// Notify wakes all that wait.
func (s *Signal) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting != nil {
		close(s.waiting)
		s.waiting = nil
	}
}
