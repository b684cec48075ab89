package railqueue_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fulmarrail/fulmarrail/internal/limit/railqueue"
)

func TestLargeCustomerDoesNotStarveSmallOne(t *testing.T) {
	c := qt.New(t)
	q := &railqueue.Queue[string]{Capacity: 1000}
	for range 300 {
		q.Push("large", 5, "large", 1)
	}
	for range 10 {
		q.Push("small", 5, "small", 1)
	}
	small := 0
	for range 20 {
		if name, _ := q.Pop(); name == "small" {
			small++
		}
	}
	c.Check(small, qt.Equals, 10)
}

func TestCustomersAreServedInProportionToWeight(t *testing.T) {
	c := qt.New(t)
	q := &railqueue.Queue[string]{Capacity: 1000}
	for range 200 {
		q.Push("heavy", 5, "heavy", 3)
		q.Push("light", 5, "light", 1)
	}
	counts := map[string]int{}
	for range 100 {
		name, _ := q.Pop()
		counts[name]++
	}
	c.Check(counts["heavy"], qt.Equals, 75)
}

func TestFullQueueEvictsLastValue(t *testing.T) {
	c := qt.New(t)
	q := &railqueue.Queue[string]{Capacity: 2}
	q.Push("low", 1, "a", 1)
	q.Push("high", 9, "a", 1)
	evicted, full := q.Push("middle", 5, "b", 1)
	c.Check(full, qt.IsTrue)
	c.Check(evicted, qt.Equals, "low")
	evicted, _ = q.Push("lowest", 0, "b", 1)
	c.Check(evicted, qt.Equals, "lowest")
}

func TestRemovedAndDiscardedValuesAreNotCharged(t *testing.T) {
	c := qt.New(t)
	q := &railqueue.Queue[string]{Capacity: 1000}
	for range 100 {
		q.Push("late", 5, "late", 1)
		q.Push("other", 5, "other", 1)
	}
	c.Check(q.RemoveFunc(func(v string) bool { return v == "late" }), qt.Equals, 100)
	for range 50 {
		q.Pop()
	}
	for range 100 {
		q.Push("late", 5, "late", 1)
	}
	counts := map[string]int{}
	for range 20 {
		first, _ := q.Peek()
		name, _ := q.Pop()
		c.Check(name, qt.Equals, first)
		counts[name]++
		q.DiscardFirst()
	}
	c.Check(counts["late"], qt.Equals, 10)
}

func TestPopReturnsPeekedValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &railqueue.Queue[int]{Capacity: 1000}
		customer := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		for n := range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				q.Push(n, 5, customer.Draw(t, "customer"), 1)
			case 1:
				q.Requeue(n, 5, customer.Draw(t, "customer"), 1)
			default:
				first, queued := q.Peek()
				if got, ok := q.Pop(); ok != queued || got != first {
					t.Fatalf("popped %d after peeking %d", got, first)
				}
			}
		}
	})
}

func TestCountAheadMatchesServiceOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &railqueue.Queue[int]{Capacity: 1000}
		weights := map[string]int{"a": 1, "b": 2, "c": 4}
		customer := rapid.SampledFrom([]string{"a", "b", "c"})
		priority := rapid.IntRange(0, 2)
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			switch name := customer.Draw(t, "customer"); rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				q.Pop()
			case 1:
				q.DiscardFirst()
			default:
				q.Push(0, priority.Draw(t, "priority"), name, weights[name])
			}
		}
		name, level := customer.Draw(t, "last customer"), priority.Draw(t, "last priority")
		ahead := q.CountAhead(level, name, weights[name])
		q.Push(1, level, name, weights[name])
		for n := 0; ; n++ {
			if value, _ := q.Pop(); value == 1 {
				if n != ahead {
					t.Fatalf("%d values were served first, want %d", n, ahead)
				}
				return
			}
		}
	})
}

func TestHigherPriorityIsServedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &railqueue.Queue[int]{Capacity: 50}
		queued := map[int]int{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				priority := rapid.IntRange(0, 3).Draw(t, "priority")
				queued[priority]++
				if evicted, full := q.Push(priority, priority, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"), 1); full {
					queued[evicted]--
					for lower := range evicted {
						if queued[lower] > 0 {
							t.Fatalf("%d was evicted while %d is queued", evicted, lower)
						}
					}
				}
				continue
			}
			got, ok := q.Pop()
			if !ok {
				continue
			}
			queued[got]--
			for higher := got + 1; higher <= 3; higher++ {
				if queued[higher] > 0 {
					t.Fatalf("%d was served before %d", got, higher)
				}
			}
		}
	})
}
