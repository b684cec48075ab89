package railconn

import "log/slog"

// Counts returns the numbers of open connections by state as a group for a log line. Of all these, unread is the number on which data has arrived that
// the server has not read.
func (l *Listener) Counts() slog.Value {
	unread, states := 0, map[connState]int{}
	for _, c := range l.openConns() {
		states[c.currentState()]++
		if c.hasUnreadData() {
			unread++
		}
	}
	return slog.GroupValue(
		slog.Int("new", states[connNew]), slog.Int("receiving", states[connReceiving]), slog.Int("answering", states[connAnswering]),
		slog.Int("answered", states[connAnswered]), slog.Int("idle", states[connIdle]), slog.Int("ending", states[connEnding]), slog.Int("unread", unread),
	)
}
