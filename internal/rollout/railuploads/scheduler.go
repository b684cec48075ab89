package railuploads

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/limit/railqueue"
)

var errQueueFull = errors.New("too many uploads are waiting")

// maxWaiting is the number of uploads that may wait. Beyond it, those to the receivers with the highest levels are refused.
const maxWaiting = 4096

// Scheduler grants upload slots in the order of the receivers' levels, the lowest level first; its exported fields are set
// before its first use.
type Scheduler struct {
	// Slots is the number of concurrent uploads.
	Slots int

	mu         sync.Mutex
	slotsInUse int
	queue      railqueue.Queue[chan bool]
}

// Acquire waits for a slot. It returns an error when ctx is done first or too many uploads are waiting.
func (s *Scheduler) Acquire(ctx context.Context, level int) error {
	s.mu.Lock()
	if s.slotsInUse < s.Slots {
		s.slotsInUse++
		s.mu.Unlock()
		return nil
	}
	granted := make(chan bool, 1)
	s.queue.Capacity = maxWaiting
	if evicted, full := s.queue.Push(granted, -level, "", 1); full {
		evicted <- false
	}
	s.mu.Unlock()
	select {
	case ok := <-granted:
		if !ok {
			return errQueueFull
		}
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.RemoveFunc(func(other chan bool) bool { return other == granted }) == 0 && <-granted {
		s.releaseSlot()
	}
	return ctx.Err()
}

// Release frees a slot.
func (s *Scheduler) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseSlot()
}

// releaseSlot passes a freed slot on to the first waiting upload, if any. The caller holds the lock.
func (s *Scheduler) releaseSlot() {
	if granted, ok := s.queue.Pop(); ok {
		granted <- true
		return
	}
	s.slotsInUse--
}
