package railqueue

import "slices"

type item[T any] struct {
	value    T
	sequence int64
}

// flow holds the queued values of one customer at one priority, in arrival order.
type flow[T any] struct {
	items []item[T]
	// cost is the virtual time that one value takes: the reciprocal of the customer's weight.
	cost float64
	// virtualStart is the virtual start time of the first value.
	virtualStart float64
}

// priorityLevel holds the flows of one priority, by customer. Its virtual time advances with each value that is served.
type priorityLevel[T any] struct {
	flows       map[string]*flow[T]
	virtualTime float64
	length      int
}

// Queue orders values by priority, then fairly between customers by weight. It is not safe for concurrent use.
//
// A customer is charged for a value when it is served, not when it is pushed. Evicted and removed values aren't charged.
type Queue[T any] struct {
	// Capacity is the maximum number of queued values.
	Capacity int

	levels map[int]*priorityLevel[T]
	length int
	// lastPushed and lastRequeued are the latest sequence numbers of pushed and requeued values. Requeued values have negative
	// numbers and thus precede pushed ones.
	lastPushed, lastRequeued int64
}

// Push adds a value for a customer of the given weight. If the queue is full, it evicts and returns the last value, which may be
// the pushed one.
func (q *Queue[T]) Push(value T, priority int, customer string, weight int) (evicted T, full bool) {
	f := q.flow(priority, customer, weight)
	q.lastPushed++
	f.items = append(f.items, item[T]{value: value, sequence: q.lastPushed})
	return q.accountPush(priority)
}

// Requeue returns a popped value to the head of its customer's flow, because it was not used, and refunds the charge. If the queue
// is full, it evicts and returns the last value.
func (q *Queue[T]) Requeue(value T, priority int, customer string, weight int) (evicted T, full bool) {
	f := q.flow(priority, customer, weight)
	f.virtualStart -= f.cost
	q.lastRequeued--
	f.items = slices.Insert(f.items, 0, item[T]{value: value, sequence: q.lastRequeued})
	return q.accountPush(priority)
}

// CountAhead returns the number of values that would be served before a new value of a customer of the given weight.
func (q *Queue[T]) CountAhead(priority int, customer string, weight int) int {
	ahead := 0
	for p, l := range q.levels {
		switch {
		case p > priority:
			ahead += l.length
		case p == priority:
			ahead += l.countAhead(customer, weight)
		}
	}
	return ahead
}

// Pop removes and returns the first value and charges its customer. It reports false if the queue is empty.
func (q *Queue[T]) Pop() (value T, ok bool) {
	priority, f := q.firstFlow()
	if f == nil {
		return value, false
	}
	l := q.levels[priority]
	l.virtualTime = max(l.virtualTime, f.virtualStart)
	f.virtualStart += f.cost
	return q.removeFirst(priority, f), true
}

// DiscardFirst removes the first value without charging its customer.
func (q *Queue[T]) DiscardFirst() {
	if priority, f := q.firstFlow(); f != nil {
		q.removeFirst(priority, f)
	}
}

// Peek returns the first value without removing it. It reports false if the queue is empty.
func (q *Queue[T]) Peek() (value T, ok bool) {
	if _, f := q.firstFlow(); f != nil {
		return f.items[0].value, true
	}
	return value, false
}

// RemoveFunc removes all matching values without charge and returns their number.
func (q *Queue[T]) RemoveFunc(match func(T) bool) int {
	total := 0
	for priority, l := range q.levels {
		n := 0
		for _, f := range l.flows {
			lengthBefore := len(f.items)
			f.items = slices.DeleteFunc(f.items, func(it item[T]) bool { return match(it.value) })
			n += lengthBefore - len(f.items)
		}
		q.accountRemoval(priority, n)
		total += n
	}
	return total
}

// Len returns the number of queued values.
func (q *Queue[T]) Len() int {
	return q.length
}

// flow returns the customer's flow at a priority, creating it if needed. An empty flow starts at the current virtual time.
func (q *Queue[T]) flow(priority int, customer string, weight int) *flow[T] {
	if q.levels == nil {
		q.levels = map[int]*priorityLevel[T]{}
	}
	l := q.levels[priority]
	if l == nil {
		l = &priorityLevel[T]{flows: map[string]*flow[T]{}}
		q.levels[priority] = l
	}
	f := l.flows[customer]
	if f == nil {
		f = &flow[T]{}
		l.flows[customer] = f
	}
	if len(f.items) == 0 {
		f.virtualStart = max(f.virtualStart, l.virtualTime)
	}
	f.cost = costOf(weight)
	return f
}

// accountPush updates the lengths after a push and evicts the last value if the capacity is exceeded.
func (q *Queue[T]) accountPush(priority int) (evicted T, full bool) {
	q.levels[priority].length++
	q.length++
	if q.length <= q.Capacity {
		return evicted, false
	}
	return q.evict(), true
}

// firstFlow returns the flow whose first value is served next, and its priority. The flow is nil if the queue is empty.
func (q *Queue[T]) firstFlow() (int, *flow[T]) {
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
		if len(f.items) > 0 && (first == nil || firstServedBefore(f, first)) {
			first = f
		}
	}
	return highest, first
}

func (q *Queue[T]) removeFirst(priority int, f *flow[T]) T {
	value := f.items[0].value
	f.items[0] = item[T]{}
	f.items = f.items[1:]
	q.accountRemoval(priority, 1)
	return value
}

// accountRemoval updates the lengths after n values were removed and deletes the level if it is empty.
func (q *Queue[T]) accountRemoval(priority, n int) {
	q.length -= n
	l := q.levels[priority]
	l.length -= n
	if l.length == 0 {
		delete(q.levels, priority)
	}
}

// evict removes and returns the value that would be served last, which has the lowest priority.
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
		if len(f.items) > 0 && (last == nil || lastServedAfter(f, last)) {
			last = f
		}
	}
	lastIndex := len(last.items) - 1
	value := last.items[lastIndex].value
	last.items = slices.Delete(last.items, lastIndex, lastIndex+1)
	q.accountRemoval(lowest, 1)
	return value
}

// firstServedBefore reports whether the first value of a is served before that of b: the one with the earlier virtual finish
// time, then the one that arrived first.
func firstServedBefore[T any](a, b *flow[T]) bool {
	x, y := a.virtualStart+a.cost, b.virtualStart+b.cost
	if x != y {
		return x < y
	}
	return a.items[0].sequence < b.items[0].sequence
}

// lastServedAfter reports whether the last value of a is served after that of b.
func lastServedAfter[T any](a, b *flow[T]) bool {
	x := a.virtualStart + float64(len(a.items))*a.cost
	y := b.virtualStart + float64(len(b.items))*b.cost
	if x != y {
		return x > y
	}
	return a.items[len(a.items)-1].sequence > b.items[len(b.items)-1].sequence
}

// countAhead returns the number of the level's values that would be served before a new value of the customer.
func (l *priorityLevel[T]) countAhead(customer string, weight int) int {
	start, ahead := l.virtualTime, 0
	if own := l.flows[customer]; own != nil {
		ahead = len(own.items)
		start = own.virtualStart
		if ahead == 0 {
			start = max(start, l.virtualTime)
		}
	}
	finish := start + float64(ahead+1)*costOf(weight)
	for name, f := range l.flows {
		if name != customer && len(f.items) > 0 {
			ahead += max(min(int((finish-f.virtualStart)/f.cost), len(f.items)), 0)
		}
	}
	return ahead
}

func costOf(weight int) float64 {
	return 1 / float64(max(weight, 1))
}
