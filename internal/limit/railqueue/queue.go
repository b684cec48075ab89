package railqueue

import "slices"

type item[T any] struct {
	value    T
	sequence int64
}

// flow holds the waiting values of one customer at one priority, in the order of their arrival.
type flow[T any] struct {
	items []item[T]
	// share is the virtual time that one value of the customer takes.
	share float64
	// start is the virtual time at which the customer's next value begins.
	start float64
}

// level holds the flows of one priority; its virtual time goes on with each value served.
type level[T any] struct {
	flows   map[string]*flow[T]
	virtual float64
	length  int
}

// Queue holds waiting values by priority, then by the customers' shares; it is not safe for concurrent use.
//
// A customer is charged for a value when that is served, not when it is pushed: what is evicted or removed costs nothing.
type Queue[T any] struct {
	// Capacity is the number of values that may wait.
	Capacity int

	levels map[int]*level[T]
	length int
	// pushed and back number the values that were pushed and pushed back; those that came back go before the others.
	pushed, back int64
}

// Push adds a value for a customer of the given weight; when the queue is full, the value that stands last is
// returned as evicted, which may be the pushed one.
func (q *Queue[T]) Push(value T, priority int, customer string, weight int) (evicted T, full bool) {
	f := q.flow(priority, customer, weight)
	q.pushed++
	f.items = append(f.items, item[T]{value: value, sequence: q.pushed})
	return q.added(priority)
}

// Requeue adds a value that was popped in vain: it goes first among those of its customer, who gets the charge back. When
// the queue is full, the value that stands last is returned as evicted.
func (q *Queue[T]) Requeue(value T, priority int, customer string, weight int) (evicted T, full bool) {
	f := q.flow(priority, customer, weight)
	f.start -= f.share
	q.back--
	f.items = slices.Insert(f.items, 0, item[T]{value: value, sequence: q.back})
	return q.added(priority)
}

// CountAhead returns the number of values that would go before a new one of a customer of the given weight.
func (q *Queue[T]) CountAhead(priority int, customer string, weight int) int {
	ahead := 0
	for p, l := range q.levels {
		switch {
		case p > priority:
			ahead += l.length
		case p == priority:
			ahead += l.ahead(customer, weight)
		}
	}
	return ahead
}

// Pop removes, charges and returns the first value, or reports false when none waits.
func (q *Queue[T]) Pop() (value T, ok bool) {
	priority, f := q.first()
	if f == nil {
		return value, false
	}
	l := q.levels[priority]
	l.virtual = max(l.virtual, f.start)
	f.start += f.share
	return q.takeFirst(priority, f), true
}

// DiscardFirst removes the first value without charging its customer.
func (q *Queue[T]) DiscardFirst() {
	if priority, f := q.first(); f != nil {
		q.takeFirst(priority, f)
	}
}

// Peek returns the first value without removing it.
func (q *Queue[T]) Peek() (value T, ok bool) {
	if _, f := q.first(); f != nil {
		return f.items[0].value, true
	}
	return value, false
}

// RemoveFunc removes the values that match and returns their number.
func (q *Queue[T]) RemoveFunc(match func(T) bool) int {
	total := 0
	for priority, l := range q.levels {
		removed := 0
		for _, f := range l.flows {
			before := len(f.items)
			f.items = slices.DeleteFunc(f.items, func(it item[T]) bool { return match(it.value) })
			removed += before - len(f.items)
		}
		q.shorten(priority, removed)
		total += removed
	}
	return total
}

// Len returns the number of waiting values.
func (q *Queue[T]) Len() int {
	return q.length
}

// flow returns the flow of a customer at a priority, ready for one more value.
func (q *Queue[T]) flow(priority int, customer string, weight int) *flow[T] {
	if q.levels == nil {
		q.levels = map[int]*level[T]{}
	}
	l := q.levels[priority]
	if l == nil {
		l = &level[T]{flows: map[string]*flow[T]{}}
		q.levels[priority] = l
	}
	f := l.flows[customer]
	if f == nil {
		f = &flow[T]{}
		l.flows[customer] = f
	}
	if len(f.items) == 0 {
		f.start = max(f.start, l.virtual)
	}
	f.share = shareOf(weight)
	return f
}

// added counts a new value and evicts the last one when the queue is full.
func (q *Queue[T]) added(priority int) (evicted T, full bool) {
	q.levels[priority].length++
	q.length++
	if q.length <= q.Capacity {
		return evicted, false
	}
	return q.evict(), true
}

// first returns the flow whose first value goes next and its priority, or nil when none waits.
func (q *Queue[T]) first() (int, *flow[T]) {
	highest, found := 0, false
	for p := range q.levels {
		if !found || p > highest {
			highest, found = p, true
		}
	}
	if !found {
		return 0, nil
	}
	l := q.levels[highest]
	var first *flow[T]
	for _, f := range l.flows {
		if len(f.items) > 0 && (first == nil || before(f, first)) {
			first = f
		}
	}
	return highest, first
}

func (q *Queue[T]) takeFirst(priority int, f *flow[T]) T {
	value := f.items[0].value
	f.items[0] = item[T]{}
	f.items = f.items[1:]
	q.shorten(priority, 1)
	return value
}

// shorten counts removed values and forgets a level in which nothing waits any more.
func (q *Queue[T]) shorten(priority, removed int) {
	q.length -= removed
	l := q.levels[priority]
	l.length -= removed
	if l.length == 0 {
		delete(q.levels, priority)
	}
}

// evict removes the value that stands last: of the lowest priority the last one of the flow that would be done last.
func (q *Queue[T]) evict() T {
	lowest, found := 0, false
	for p := range q.levels {
		if !found || p < lowest {
			lowest, found = p, true
		}
	}
	l := q.levels[lowest]
	var last *flow[T]
	for _, f := range l.flows {
		if len(f.items) > 0 && (last == nil || outlasts(f, last)) {
			last = f
		}
	}
	end := len(last.items) - 1
	value := last.items[end].value
	last.items = slices.Delete(last.items, end, end+1)
	q.shorten(lowest, 1)
	return value
}

// before reports whether the first value of a goes before that of b: the earlier finish, then the earlier arrival.
func before[T any](a, b *flow[T]) bool {
	x, y := a.start+a.share, b.start+b.share
	if x != y {
		return x < y
	}
	return a.items[0].sequence < b.items[0].sequence
}

// outlasts reports whether the last value of a stands after that of b.
func outlasts[T any](a, b *flow[T]) bool {
	x := a.start + float64(len(a.items))*a.share
	y := b.start + float64(len(b.items))*b.share
	if x != y {
		return x > y
	}
	return a.items[len(a.items)-1].sequence > b.items[len(b.items)-1].sequence
}

// ahead returns the number of the level's values that would go before a new one of a customer.
func (l *level[T]) ahead(customer string, weight int) int {
	start, ahead := l.virtual, 0
	if own := l.flows[customer]; own != nil {
		ahead = len(own.items)
		start = own.start
		if ahead == 0 {
			start = max(start, l.virtual)
		}
	}
	finish := start + float64(ahead+1)*shareOf(weight)
	for name, f := range l.flows {
		if name != customer && len(f.items) > 0 {
			ahead += max(min(int((finish-f.start)/f.share), len(f.items)), 0)
		}
	}
	return ahead
}

func shareOf(weight int) float64 {
	return 1 / float64(max(weight, 1))
}
