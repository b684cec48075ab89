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
	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

const (
	// maxRowBytes is the maximum size of a row's value.
	maxRowBytes = 64 << 10
	// maxHistoryEntries is the number of changes kept over all tables.
	maxHistoryEntries = 4096
)

// Tables is a set of tables that share one counter of changes. It is safe for concurrent use. The zero value is empty. Its versions
// are those of package railversion.
type Tables struct {
	mu        sync.Mutex
	startedAt time.Time
	era       int64
	// number is that of the last change, as are those of the rows and the history.
	number  int64
	rows    map[string]map[string]railreplica.Row
	history []historyEntry
	// trimmedNumber is the number of the last change that was removed from the history.
	trimmedNumber int64
	changed       railsignal.Signal
}

// historyEntry is a change of a row: the row before and after it, and when it was made.
type historyEntry struct {
	table       string
	before, row railreplica.Row
	at          time.Time
}

// Table returns all rows of a table, sorted by key.
func (t *Tables) Table(table string) railreplica.Page {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.newPage()
	for _, key := range slices.Sorted(maps.Keys(t.rows[table])) {
		p.Rows = append(p.Rows, t.inEra(t.rows[table][key]))
	}
	return p
}

// Row returns a row, or a row of version 0 if it does not exist.
func (t *Tables) Row(table, key string) railreplica.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inEra(t.rows[table][key])
}

// Era returns the number of restores.
func (t *Tables) Era() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// Restore replaces the tables by a copy of what they were some time ago: the changes since then are undone, as far as the history has
// them, and their numbers will be given out again.
func (t *Tables) Restore(age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.era++
	cutoff := time.Now().Add(-age)
	for n := len(t.history) - 1; n >= 0 && t.history[n].at.After(cutoff); n-- {
		t.undo(t.history[n])
		t.history = t.history[:n]
	}
	t.changed.Notify()
}

// undo undoes the last change.
func (t *Tables) undo(e historyEntry) {
	t.number = e.row.Version - 1
	if e.before.Version == 0 {
		delete(t.rows[e.table], e.row.Key)
		return
	}
	t.rows[e.table][e.row.Key] = e.before
}

// Changes returns the rows of a table that changed after a version, in the order of the changes. If there are none, it waits for
// the next change, for at most the given time. It returns railreplica.ErrHistoryGone if the history does not have these changes: they
// were removed from it, or the version is one of an earlier era, or one that was not given out yet.
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
// version, or if that is one of an earlier era, and railtable.ErrRefused if the value is too large.
func (t *Tables) Change(c railtable.Change) (int64, error) {
	if len(c.Value) > maxRowBytes {
		return 0, errors.Wrapf(railtable.ErrRefused, "row %s/%s exceeds %d bytes", c.Table, c.Key, maxRowBytes)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	old := t.rows[c.Table][c.Key]
	if c.Version != nil && *c.Version != t.inEra(old).Version {
		return 0, railtable.ErrConflict
	}
	t.number++
	next := railreplica.Row{Key: c.Key, Value: slices.Clone(c.Value), Version: t.number, Removed: c.Value == nil}
	if t.rows[c.Table] == nil {
		t.rows[c.Table] = map[string]railreplica.Row{}
	}
	if next.Removed {
		delete(t.rows[c.Table], c.Key)
	} else {
		t.rows[c.Table][c.Key] = next
	}
	t.appendHistory(historyEntry{table: c.Table, before: old, row: next, at: time.Now()})
	t.changed.Notify()
	return t.inEra(next).Version, nil
}

func (t *Tables) changesAfter(table string, after int64) (railreplica.Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	number := railversion.Number(after)
	if railversion.Era(after) != t.era || number < t.trimmedNumber || number > t.number {
		return railreplica.Page{}, railreplica.ErrHistoryGone
	}
	p := t.newPage()
	for _, entry := range t.history {
		if entry.table == table && entry.row.Version > number {
			p.Rows = append(p.Rows, t.inEra(entry.row))
		}
	}
	return p, nil
}

// inEra returns a row with its version in the current era. A row that does not exist keeps version 0.
func (t *Tables) inEra(row railreplica.Row) railreplica.Row {
	if row.Version > 0 {
		row.Version = railversion.New(t.era, row.Version)
	}
	return row
}

func (t *Tables) appendHistory(entry historyEntry) {
	t.history = append(t.history, entry)
	if excess := len(t.history) - maxHistoryEntries; excess > 0 {
		t.trimmedNumber = t.history[excess-1].row.Version
		t.history = slices.Clone(t.history[excess:])
	}
}

// newPage returns a page without rows, with the current version and time.
func (t *Tables) newPage() railreplica.Page {
	t.init()
	return railreplica.Page{Version: railversion.New(t.era, t.number), Now: time.Since(t.startedAt)}
}

func (t *Tables) init() {
	if t.rows == nil {
		t.rows, t.startedAt = map[string]map[string]railreplica.Row{}, time.Now()
	}
}
