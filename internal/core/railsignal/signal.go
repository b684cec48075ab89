package railsignal

import "sync"

// Signal announces changes to any number of waiting goroutines. It is safe for concurrent use, and its zero value is ready to use.
type Signal struct {
	mu      sync.Mutex
	changed chan struct{}
}

// Changed returns a channel that the next call of Notify closes.
func (s *Signal) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Notify wakes all goroutines that wait on a channel returned by Changed.
func (s *Signal) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
