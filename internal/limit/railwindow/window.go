package railwindow

import "time"

// Window records the events of the last second. The zero value is empty. It is not safe for concurrent use.
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

// Add records an event at now.
func (w *Window) Add(now time.Time) {
	w.events = append(w.events, now)
}
