package railera

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railsignal"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

// MaxCopyAge bounds the age of the copies from which the store is restored: what was written earlier is never lost.
const MaxCopyAge = time.Minute

// Tracker holds the latest era that a process knows, and since when some process has known it. The zero value is the era of a store that
// was never restored. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	era     int64
	since   time.Time
	changed railsignal.Signal
}

// Observe records that an era had begun by age ago. Earlier eras than the latest one are ignored.
func (t *Tracker) Observe(era int64, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	since := time.Now().Add(-age)
	switch {
	case era > t.era:
		t.era, t.since = era, since
		t.changed.Notify()
	case era == t.era && since.Before(t.since):
		t.since = since
	}
}

// Latest returns the latest era and the time for which it is known to have lasted, which is 0 for a store that was never restored.
func (t *Tracker) Latest() (era int64, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.era == 0 {
		return 0, 0
	}
	return t.era, time.Since(t.since)
}

// Remaining returns the rest of a time that begins with the latest era, or 0 if it is over or the store was never restored.
func (t *Tracker) Remaining(duration time.Duration) time.Duration {
	era, age := t.Latest()
	if era == 0 {
		return 0
	}
	return max(duration-age, 0)
}

// BegunWithin reads a row, so that the latest era is known, and reports whether that may have begun within the given time. It also does
// so if the row can't be read.
func (t *Tracker) BegunWithin(ctx context.Context, table railtable.Table, key string, duration time.Duration) bool {
	_, _, err := t.Watch(table).Get(ctx, key)
	return err != nil || t.Remaining(duration) > 0
}

// IsOutdated reports whether a row's version is one of an earlier era. Version 0 never is.
func (t *Tracker) IsOutdated(version int64) bool {
	era, _ := t.Latest()
	return version != 0 && railversion.Era(version) < era
}

// Changed returns a channel that is closed when the next era is observed.
func (t *Tracker) Changed() <-chan struct{} {
	return t.changed.Changed()
}

// Watch returns the table with the tracker observing the versions of its responses.
func (t *Tracker) Watch(table railtable.Table) railtable.Table {
	return &watchedTable{Table: table, tracker: t}
}

type watchedTable struct {
	railtable.Table
	tracker *Tracker
}

func (w *watchedTable) Get(ctx context.Context, key string) ([]byte, int64, error) {
	value, version, err := w.Table.Get(ctx, key)
	if err == nil && version != 0 {
		w.tracker.Observe(railversion.Era(version), 0)
	}
	return value, version, err
}

func (w *watchedTable) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	newVersion, err := w.Table.Put(ctx, key, value, version)
	if err == nil {
		w.tracker.Observe(railversion.Era(newVersion), 0)
	}
	return newVersion, err
}
