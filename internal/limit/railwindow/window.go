package railwindow

import "time"

// Window remembers the events of the last second; the zero value is empty.
type Window struct {
	events []time.Time
}

// Count returns the number of events in the second before now.
func (w *Window) Count(now time.Time) int {
	expired := 0
	for expired < len(w.events) && now.Sub(w.events[expired]) >= time.Second {
		expired++
	}
	w.events = w.events[expired:]
	return len(w.events)
}

// Add notes an event.
func (w *Window) Add(now time.Time) {
	w.events = append(w.events, now)
}
