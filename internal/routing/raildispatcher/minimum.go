package raildispatcher

import "time"

// minimumWindow is the length of one of the two windows over which the minimum is taken.
const minimumWindow = 5 * time.Second

// windowedMinimum tracks the shortest time from grant to completion over the current and the previous window.
type windowedMinimum struct {
	current, previous time.Duration
	windowStart       time.Time
}

func (m *windowedMinimum) record(now time.Time, duration time.Duration) {
	m.rotate(now)
	if m.current == 0 || duration < m.current {
		m.current = duration
	}
}

// shortest returns the shortest duration in both windows, or 0 if none was recorded.
func (m *windowedMinimum) shortest(now time.Time) time.Duration {
	m.rotate(now)
	if m.current == 0 || m.previous > 0 && m.previous < m.current {
		return m.previous
	}
	return m.current
}

func (m *windowedMinimum) rotate(now time.Time) {
	switch age := now.Sub(m.windowStart); {
	case age < minimumWindow:
	case age < 2*minimumWindow:
		m.previous, m.current, m.windowStart = m.current, 0, now
	default:
		m.previous, m.current, m.windowStart = 0, 0, now
	}
}
