package railtables

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railsignal"
	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
)

const (
	// maxRowBytes is the maximum size of a row's value.
	maxRowBytes = 64 << 10
	// maxHistoryEntries is the number of changes kept over all tables.
	maxHistoryEntries = 4096
)

// Tables is a set of tables that share one version counter. It is safe for concurrent use. The zero value is empty.
type Tables struct {
	mu        sync.Mutex
	startedAt time.Time
	version   int64
	rows      map[string]map[string]railreplica.Row
	history   []historyEntry
	// trimmedVersion is the version of the last change that was removed from the history.
	trimmedVersion int64
	changed        railsignal.Signal
}

// historyEntry is a row after a change.
type historyEntry struct {
	table string
	row   railreplica.Row
}

// Table returns all rows of a table, sorted by key.
func (t *Tables) Table(table string) railreplica.Page {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.newPage()
	for _, key := range slices.Sorted(maps.Keys(t.rows[table])) {
		p.Rows = append(p.Rows, t.rows[table][key])
	}
	return p
}

// Row returns a row, or a row of version 0 if it does not exist.
func (t *Tables) Row(table, key string) railreplica.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[table][key]
}

// Changes returns the rows of a table that changed after a version, in the order of the changes. If there are none, it waits for
// the next change, for at most the given time. It returns railreplica.ErrHistoryGone if the history no longer has these changes.
func (t *Tables) Changes(ctx context.Context, table string, after int64, wait time.Duration) (railreplica.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := t.changed.Changed()
		p, err := t.changesAfter(table, after)
		if err != nil || len(p.Rows) > 0 || wait <= 0 {
			return p, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return t.changesAfter(table, after)
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
}

// Change applies a change and returns the row's new version. It returns railtable.ErrConflict if the row does not have the expected
// version, and railtable.ErrRefused if the value is too large.
func (t *Tables) Change(c railtable.Change) (int64, error) {
	if len(c.Value) > maxRowBytes {
		return 0, errors.Wrapf(railtable.ErrRefused, "row %s/%s exceeds %d bytes", c.Table, c.Key, maxRowBytes)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	old := t.rows[c.Table][c.Key]
	if c.Version != nil && *c.Version != old.Version {
		return 0, railtable.ErrConflict
	}
	t.version++
	next := railreplica.Row{Key: c.Key, Value: slices.Clone(c.Value), Version: t.version, Removed: c.Value == nil}
	if t.rows[c.Table] == nil {
		t.rows[c.Table] = map[string]railreplica.Row{}
	}
	if next.Removed {
		delete(t.rows[c.Table], c.Key)
	} else {
		t.rows[c.Table][c.Key] = next
	}
	t.appendHistory(historyEntry{table: c.Table, row: next})
	t.changed.Notify()
	return t.version, nil
}

func (t *Tables) changesAfter(table string, after int64) (railreplica.Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.trimmedVersion {
		return railreplica.Page{}, railreplica.ErrHistoryGone
	}
	p := t.newPage()
	for _, entry := range t.history {
		if entry.table == table && entry.row.Version > after {
			p.Rows = append(p.Rows, entry.row)
		}
	}
	return p, nil
}

func (t *Tables) appendHistory(entry historyEntry) {
	t.history = append(t.history, entry)
	if excess := len(t.history) - maxHistoryEntries; excess > 0 {
		t.trimmedVersion = t.history[excess-1].row.Version
		t.history = slices.Clone(t.history[excess:])
	}
}

// newPage returns a page without rows, with the current version and time.
func (t *Tables) newPage() railreplica.Page {
	t.init()
	return railreplica.Page{Version: t.version, Now: time.Since(t.startedAt)}
}

func (t *Tables) init() {
	if t.rows == nil {
		t.rows, t.startedAt = map[string]map[string]railreplica.Row{}, time.Now()
	}
}
