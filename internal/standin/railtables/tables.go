package railtables

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railsignal"
	"github.com/fulmarrail/fulmarrail/internal/store/railrows"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
)

const (
	// maxRowBytes bounds a row's value.
	maxRowBytes = 64 << 10
	// historyLength is the number of changes that are kept.
	historyLength = 4096
)

// Tables is safe for concurrent use; the zero value is empty.
type Tables struct {
	mu      sync.Mutex
	began   time.Time
	version int64
	rows    map[string]map[string]railrows.Row
	history []change
	// forgotten is the version up to which the history is gone.
	forgotten int64
	changed   railsignal.Signal
}

// change is a row as a change left it.
type change struct {
	table string
	row   railrows.Row
}

// Table returns all rows of a table in the order of their keys.
func (t *Tables) Table(table string) railrows.Page {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.page()
	for _, key := range slices.Sorted(maps.Keys(t.rows[table])) {
		p.Rows = append(p.Rows, t.rows[table][key])
	}
	return p
}

// Row returns a row, or one of version 0 when it is absent.
func (t *Tables) Row(table, key string) railrows.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[table][key]
}

// Changes returns the rows of a table that changed after a version, waiting for at most the given time until there is one.
func (t *Tables) Changes(ctx context.Context, table string, after int64, wait time.Duration) (railrows.Page, error) {
	expired := time.NewTimer(wait)
	defer expired.Stop()
	for {
		changed := t.changed.Changed()
		p, err := t.since(table, after)
		if err != nil || len(p.Rows) > 0 || wait <= 0 {
			return p, err
		}
		select {
		case <-changed:
		case <-expired.C:
			return t.since(table, after)
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
}

// Change makes a change and returns the row's new version, or railtable.ErrConflict.
func (t *Tables) Change(c railtable.Change) (int64, error) {
	if len(c.Value) > maxRowBytes {
		return 0, errors.Wrapf(railtable.ErrRefused, "row %s/%s is over %d bytes", c.Table, c.Key, maxRowBytes)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	old := t.rows[c.Table][c.Key]
	if c.Version != nil && *c.Version != old.Version {
		return 0, railtable.ErrConflict
	}
	t.version++
	next := railrows.Row{Key: c.Key, Value: slices.Clone(c.Value), Version: t.version, Removed: c.Value == nil}
	if t.rows[c.Table] == nil {
		t.rows[c.Table] = map[string]railrows.Row{}
	}
	if next.Removed {
		delete(t.rows[c.Table], c.Key)
	} else {
		t.rows[c.Table][c.Key] = next
	}
	t.remember(change{table: c.Table, row: next})
	t.changed.Notify()
	return t.version, nil
}

func (t *Tables) since(table string, after int64) (railrows.Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.forgotten {
		return railrows.Page{}, railrows.ErrHistoryGone
	}
	p := t.page()
	for _, c := range t.history {
		if c.table == table && c.row.Version > after {
			p.Rows = append(p.Rows, c.row)
		}
	}
	return p, nil
}

func (t *Tables) remember(c change) {
	t.history = append(t.history, c)
	if over := len(t.history) - historyLength; over > 0 {
		t.forgotten = t.history[over-1].row.Version
		t.history = slices.Clone(t.history[over:])
	}
}

// page returns an empty page as of now.
func (t *Tables) page() railrows.Page {
	t.init()
	return railrows.Page{Version: t.version, Now: time.Since(t.began)}
}

func (t *Tables) init() {
	if t.rows == nil {
		t.rows, t.began = map[string]map[string]railrows.Row{}, time.Now()
	}
}
