package railera

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railsignal"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

const (
	// MaxCopyAge bounds the age of the copies from which the store is restored: what was written earlier is never lost.
	MaxCopyAge = time.Minute

	// failureWindow is the time after the beginning of an era, or after the last failure in it, for which a failure is taken for one that
	// keeps others from writing again what was lost.
	failureWindow = 15 * time.Second
)

// Tracker holds the latest era that a process knows, and since when some process has known it. The zero value is the era of a store that
// was never restored. It is safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	era   int64
	since time.Time
	// failedAt is the time of the last failure that extends the beginning of the era, or zero.
	failedAt time.Time
	changed  railsignal.Signal
}

// Observe records that an era had begun by age ago. Earlier eras than the latest one are ignored.
func (t *Tracker) Observe(era int64, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	since := time.Now().Add(-age)
	switch {
	case era > t.era:
		t.era, t.since, t.failedAt = era, since, time.Time{}
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

// Remaining returns the rest of a time that begins with the latest era, or 0 if it is over or the store was never restored. While the store
// fails after a restore, the time begins anew, since others can't write to it either.
func (t *Tracker) Remaining(duration time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.era == 0 {
		return 0
	}
	return max(duration-time.Since(t.settlingSince()), 0)
}

// observeFailure records that the store did not process a call.
func (t *Tracker) observeFailure() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.era != 0 && time.Since(t.settlingSince()) < failureWindow {
		t.failedAt = time.Now()
	}
}

func (t *Tracker) settlingSince() time.Time {
	if t.failedAt.After(t.since) {
		return t.failedAt
	}
	return t.since
}

// BegunWithin reads a row, so that the latest era is known, and reports whether that may have begun within the given time. It also does
// so if the row can't be read, or does not exist, since it may have been lost.
func (t *Tracker) BegunWithin(ctx context.Context, table railtable.Table, key string, duration time.Duration) bool {
	_, version, err := t.Watch(table).Get(ctx, key)
	return err != nil || version == 0 || t.Remaining(duration) > 0
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
	w.observe(version, err)
	return value, version, err
}

func (w *watchedTable) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	newVersion, err := w.Table.Put(ctx, key, value, version)
	w.observe(newVersion, err)
	return newVersion, err
}

func (w *watchedTable) observe(version int64, err error) {
	switch {
	case err == nil && version != 0:
		w.tracker.Observe(railversion.Era(version), 0)
	case err != nil && !errors.Is(err, railtable.ErrConflict):
		w.tracker.observeFailure()
	}
}
