package railtimer

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// jitterFraction is the maximum jitter as a fraction of the interval.
const jitterFraction = 0.1

type subscription struct {
	interval  time.Duration
	nextTick  time.Time
	ticks     chan time.Time
	heapIndex int
}

// schedule is a heap of subscriptions ordered by their next tick.
type schedule []*subscription

// Service sends periodic ticks to its subscribers. The zero value is ready for Run.
type Service struct {
	// Jitter, if set, shifts each tick randomly by up to a tenth of its interval in either direction.
	Jitter bool

	mu       sync.Mutex
	schedule schedule
	wake     chan struct{}
	once     sync.Once
}

// Run sends ticks until ctx is done.
func (s *Service) Run(ctx context.Context) {
	s.init()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(s.sendDue(time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// Subscribe returns a channel that receives a tick at the given interval, and a function that ends the subscription. A tick is
// dropped if the subscriber has not received the one before.
func (s *Service) Subscribe(interval time.Duration) (<-chan time.Time, func()) {
	s.init()
	sub := &subscription{interval: interval, ticks: make(chan time.Time, 1)}
	s.mu.Lock()
	sub.nextTick = time.Now().Add(s.withJitter(interval))
	heap.Push(&s.schedule, sub)
	s.mu.Unlock()
	s.wakeRun()
	return sub.ticks, func() { s.unsubscribe(sub) }
}

func (s *Service) init() {
	s.once.Do(func() { s.wake = make(chan struct{}, 1) })
}

func (s *Service) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) unsubscribe(sub *subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub.heapIndex >= 0 {
		heap.Remove(&s.schedule, sub.heapIndex)
	}
}

// sendDue sends the ticks that are due and returns the time until the next one, or an hour if there are no subscriptions.
func (s *Service) sendDue(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.schedule) > 0 {
		sub := s.schedule[0]
		if wait := sub.nextTick.Sub(now); wait > 0 {
			return wait
		}
		select {
		case sub.ticks <- now:
		default: // The subscriber still has an earlier tick to receive.
		}
		sub.nextTick = now.Add(s.withJitter(sub.interval))
		heap.Fix(&s.schedule, 0)
	}
	return time.Hour
}

func (s *Service) withJitter(interval time.Duration) time.Duration {
	if !s.Jitter {
		return interval
	}
	return interval + time.Duration((rand.Float64()*2-1)*jitterFraction*float64(interval))
}

func (q schedule) Len() int           { return len(q) }
func (q schedule) Less(i, j int) bool { return q[i].nextTick.Before(q[j].nextTick) }

func (q schedule) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex = i
	q[j].heapIndex = j
}

func (q *schedule) Push(x any) {
	sub := x.(*subscription)
	sub.heapIndex = len(*q)
	*q = append(*q, sub)
}

func (q *schedule) Pop() any {
	old := *q
	sub := old[len(old)-1]
	*q = old[:len(old)-1]
	sub.heapIndex = -1
	return sub
}
