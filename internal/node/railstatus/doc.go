// Package railstatus serves status reports to operators' commands, for processes that take no part in heartbeats.
package railstatus
