package railconn

import "log/slog"

// Counts are the numbers of a listener's open connections by state.
type Counts struct {
	New, Receiving, Answering, Answered, Idle, Ending int
	// Unread is the number of connections in any of these states on which data has arrived that the server has not read.
	Unread int
}

// LogValue returns the counts as a group.
func (n Counts) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int("new", n.New), slog.Int("receiving", n.Receiving), slog.Int("answering", n.Answering), slog.Int("answered", n.Answered),
		slog.Int("idle", n.Idle), slog.Int("ending", n.Ending), slog.Int("unread", n.Unread),
	)
}

// Counts returns the numbers of open connections by state.
func (l *Listener) Counts() Counts {
	unread, states := 0, map[connState]int{}
	for _, c := range l.openConns() {
		states[c.currentState()]++
		if c.hasUnreadData() {
			unread++
		}
	}
	return Counts{
		New: states[connNew], Receiving: states[connReceiving], Answering: states[connAnswering], Answered: states[connAnswered],
		Idle: states[connIdle], Ending: states[connEnding], Unread: unread,
	}
}

func (c *Conn) currentState() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}
