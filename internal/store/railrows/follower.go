package railrows

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railsignal"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
)

const (
	firstRetry  = 100 * time.Millisecond
	longestWait = time.Second
)

// ErrHistoryGone means that the changes since a version can't be had any more; the table is to be read whole.
var ErrHistoryGone = errors.New("the store has dropped the history asked for")

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Removed bool
}

// Page is the answer to a read: rows, and the store's version and steady clock at that moment.
type Page struct {
	Rows    []Row
	Version int64
	Now     time.Duration
}

// ByKey returns rows by their keys.
func ByKey(rows []Row) map[string]Row {
	byKey := make(map[string]Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	return byKey
}

// Source reads the platform's store.
type Source interface {
	// Table returns all rows of a table as of a single moment.
	Table(ctx context.Context, table string) (Page, error)
	// Changes returns the rows changed after a version, waiting for at most the given time until there is one; the error
	// is ErrHistoryGone when they can't be had any more.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// Follower keeps a copy of a table; its fields are set before Run.
type Follower struct {
	Source Source
	Table  string
	// Wait is the time for which the store may hold a call until there is a change.
	Wait time.Duration
	// Pause is the time between two calls.
	PollDelay time.Duration
	// Timeout bounds one call, besides Wait.
	Timeout time.Duration
	// Now returns the time since the machine's start, that of suspension included.
	Now func() time.Duration
	// Answers is notified when the store answers again, so that the followers that share it try again at once; nil is allowed.
	Recovered *railsignal.Signal
	// Changed is called with all rows after each change, and once the table was read for the first time.
	OnChange func(rows map[string]Row)
	Log      *slog.Logger

	mu        sync.Mutex
	confirmed time.Duration
	known     bool
	rows      map[string]Row
	version   int64
	// storeNow is the store's clock when this machine's stood at answered.
	storeNow, answered time.Duration
	lost               bool
}

// Run follows the table until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	retry := &backoff.ExponentialBackOff{InitialInterval: firstRetry, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: longestWait}
	retry.Reset()
	for ctx.Err() == nil {
		again := f.again()
		if err := f.step(ctx); err != nil {
			f.noteLoss(ctx, err)
			f.await(ctx, again, retry.NextBackOff())
			continue
		}
		retry.Reset()
		f.noteReturn()
		railtimer.Sleep(ctx, f.PollDelay)
	}
}

// again returns a channel that is closed when another follower finds that the store answers again.
func (f *Follower) again() <-chan struct{} {
	if f.Recovered == nil {
		return nil
	}
	return f.Recovered.Changed()
}

// await waits until the next try, which comes at once when the store answers another follower again.
func (f *Follower) await(ctx context.Context, again <-chan struct{}, pause time.Duration) {
	select {
	case <-again:
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

// Refresh makes one call, or returns its error; Run need not be used then.
func (f *Follower) Refresh(ctx context.Context) error {
	return f.step(ctx)
}

// Rows returns the copy.
func (f *Follower) Rows() map[string]Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.rows)
}

// Age returns the time since the copy was last known to be current, or false before it was read at all.
func (f *Follower) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Now() - f.confirmed, f.known
}

// Version returns the store's version that the copy stands for.
func (f *Follower) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// StoreNow returns the store's steady clock, or 0 before its first answer.
func (f *Follower) StoreNow() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeNow == 0 {
		return 0
	}
	return f.storeNow + f.Now() - f.answered
}

// step makes one call and applies what it brings.
func (f *Follower) step(ctx context.Context) error {
	began := f.Now()
	if !f.read() {
		return f.readWhole(ctx, began)
	}
	ctx, cancel := context.WithTimeout(ctx, f.Wait+f.Timeout)
	defer cancel()
	page, err := f.Source.Changes(ctx, f.Table, f.Version(), f.Wait)
	if errors.Is(err, ErrHistoryGone) {
		f.Log.Info("history is gone, the table is read whole", "table", f.Table, "after", f.Version())
		return f.readWhole(ctx, began)
	}
	if err != nil {
		return err
	}
	if len(page.Rows) == 0 {
		began += f.Wait // The store answers without rows only at the end of the wait.
	}
	f.apply(page, began, false)
	return nil
}

func (f *Follower) readWhole(ctx context.Context, began time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	page, err := f.Source.Table(ctx, f.Table)
	if err != nil {
		return err
	}
	f.apply(page, began, true)
	return nil
}

// apply takes over a page that stood for the store at a time; a whole one replaces the copy.
func (f *Follower) apply(page Page, at time.Duration, whole bool) {
	f.mu.Lock()
	if whole {
		f.rows = map[string]Row{}
	}
	for _, row := range page.Rows {
		if row.Removed {
			delete(f.rows, row.Key)
			continue
		}
		f.rows[row.Key] = row
	}
	f.version = max(f.version, page.Version)
	f.storeNow, f.answered = page.Now, f.Now()
	f.known = true
	rows := maps.Clone(f.rows)
	f.mu.Unlock()
	if whole || len(page.Rows) > 0 {
		f.OnChange(rows)
	}
	f.mu.Lock()
	f.confirmed = max(f.confirmed, at)
	f.mu.Unlock()
}

func (f *Follower) read() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

func (f *Follower) noteLoss(ctx context.Context, err error) {
	if f.lost || ctx.Err() != nil {
		return
	}
	f.lost = true
	if age, known := f.Age(); known {
		f.Log.Warn("store lost", "table", f.Table, "err", err, "age", age)
		return
	}
	f.Log.Warn("store does not answer yet", "table", f.Table, "err", err)
}

func (f *Follower) noteReturn() {
	if f.lost {
		f.lost = false
		f.Log.Info("store regained", "table", f.Table, "version", f.Version())
		if f.Recovered != nil {
			f.Recovered.Notify()
		}
	}
}
