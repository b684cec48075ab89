package railreplica

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railsignal"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/store/railstoreclock"
	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

const (
	minRetryInterval = 100 * time.Millisecond
	// maxRetryInterval, with its randomization, lets a follower notice the store's return within a second.
	maxRetryInterval = 650 * time.Millisecond
	// pollJitter is the largest deviation of the delay between two requests from PollDelay, as a share of it. It spreads the requests of
	// processes that have started together.
	pollJitter = 0.2
	// ReturnGrace is the time after the store's return from an outage, or from a restore, within which living writers have written the rows
	// again that it lacks.
	ReturnGrace = 2 * time.Second
)

// errInterrupted means that another follower has found the store back, so that a response to the present request may never come.
var errInterrupted = errors.New("the request was abandoned since the store is back")

// errOutdated means that another process knows nothing that is newer than this replica.
var errOutdated = errors.New("the other process's replica is not newer")

// ErrHistoryGone means that the store no longer has the changes since a version, so that the whole table has to be read again.
var ErrHistoryGone = errors.New("the store no longer has the requested change history")

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Removed bool
}

// Page is the result of a read: rows, with the store's version and its monotonic clock at that time.
type Page struct {
	Rows    []Row
	Version int64
	Now     time.Duration
	// CurrentAt is the earliest local time at which the page may have been current. It is 0 for a page that the store itself has sent, which
	// was current when it was requested or later.
	CurrentAt time.Duration
}

// ByKey returns the rows as a map by key.
func ByKey(rows []Row) map[string]Row {
	byKey := make(map[string]Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	return byKey
}

// Source reads the platform's store.
type Source interface {
	// Table returns a consistent snapshot of all rows of a table.
	Table(ctx context.Context, table string) (Page, error)
	// Changes returns the rows changed after a version. If there are none, it waits for the next change, for at most the given
	// time. It returns ErrHistoryGone if the store does not have these changes, and the error of ctx as soon as that is done.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// Follower maintains a replica of a table. Its exported fields must be set before Run is called.
type Follower struct {
	Source Source
	// Fallback is read whenever a request to Source has failed, since other processes may still reach the store. It may be nil.
	Fallback Source
	Table    string
	// Wait is the long polling time: the store may delay its response for this time until there is a change.
	Wait time.Duration
	// PollDelay is the mean delay between two requests.
	PollDelay time.Duration
	// Timeout is the timeout of a request, in addition to Wait.
	Timeout time.Duration
	// Now returns the time since boot, including time in suspend.
	Now func() time.Duration
	// Clock relates the store's versions and clock to the local clock. Followers of the same store may share it. If it is nil, the
	// follower has one of its own.
	Clock *railstoreclock.Clock
	// Recovered is notified when the store responds again after an outage or was restored, so that all followers that share it send a request
	// immediately, also those that wait for the response to another one. It may be nil.
	Recovered *railsignal.Signal
	// OnChange is called with all rows after the table has been read for the first time and after each change.
	OnChange func(rows map[string]Row)
	Log      *slog.Logger

	mu          sync.Mutex
	confirmedAt time.Duration
	loaded      bool
	rows        rowSet
	version     int64
	// pageAt is the store's clock as of the last page.
	pageAt time.Duration
	// maxChangeAge is the longest time for which the changes in the last page may have been in the store.
	maxChangeAge time.Duration
	// unanswered is set if a request has failed or was abandoned since the last response.
	unanswered bool
	storeLost  bool
	// readElsewhere is set if Fallback has been read since the store was lost.
	readElsewhere bool
	// recoveredSinceLoss is closed when another follower has found the store back since this one has lost it.
	recoveredSinceLoss <-chan struct{}
}

// Run keeps the replica up to date until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	retry := &backoff.ExponentialBackOff{InitialInterval: minRetryInterval, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: maxRetryInterval}
	retry.Reset()
	for ctx.Err() == nil {
		recovered := f.recoverySignal()
		err := f.interruptiblePoll(ctx, recovered)
		if err != nil {
			f.setUnanswered()
		}
		if errors.Is(err, errInterrupted) {
			continue
		}
		if err != nil {
			f.logLoss(ctx, err)
			f.pollFallback(ctx)
			f.waitForRetry(ctx, recovered, retry.NextBackOff())
			continue
		}
		retry.Reset()
		f.logRecovery()
		railtimer.Sleep(ctx, f.untilExpiry(railtimer.Scale(1+pollJitter*(2*rand.Float64()-1), f.PollDelay)))
	}
}

// recoverySignal returns a channel that is closed when another follower finds that the store responds again, or nil.
func (f *Follower) recoverySignal() <-chan struct{} {
	if f.Recovered == nil {
		return nil
	}
	return f.Recovered.Changed()
}

// waitForRetry waits for the interval, or until the store responds to another follower again.
func (f *Follower) waitForRetry(ctx context.Context, recovered <-chan struct{}, interval time.Duration) {
	select {
	case <-recovered:
	case <-time.After(interval):
	case <-ctx.Done():
	}
}

// interruptiblePoll is like poll, but returns errInterrupted if the store responds to another follower again before it responds to this one.
func (f *Follower) interruptiblePoll(ctx context.Context, recovered <-chan struct{}) error {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	interrupted := make(chan struct{})
	go func() {
		select {
		case <-recovered:
			close(interrupted)
			cancel()
		case <-pollCtx.Done():
		}
	}()
	err := f.poll(pollCtx)
	select {
	case <-interrupted:
		if err != nil {
			return errInterrupted
		}
	default:
	}
	return err
}

// Refresh updates the replica once and returns the error, if any. It works without Run.
func (f *Follower) Refresh(ctx context.Context) error {
	return f.poll(ctx)
}

// Rows returns a copy of the rows by key.
func (f *Follower) Rows() map[string]Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows.view()
}

// Age returns the time since the replica was last known to be current. It returns false before the first successful read.
func (f *Follower) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Now() - f.confirmedAt, f.loaded
}

// Version returns the store version that the replica corresponds to.
func (f *Follower) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// ChangesSince returns the rows that have changed in the store after a version, as far as this replica knows, for another process. If their
// history is not known back to that version, whole is true and all rows are returned. It returns false if the replica can't tell the
// table's state: before the first successful read, and while a restored store may lack rows.
func (f *Follower) ChangesSince(after int64) (page Page, whole, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded || f.rows.awaitsNewerStates(f.Now()) {
		return Page{}, false, false
	}
	page = Page{Version: f.version, Now: f.pageAt, CurrentAt: f.confirmedAt}
	whole = railversion.Era(after) != railversion.Era(f.version) || after < f.rows.historyStart
	if whole {
		after = 0
	}
	page.Rows = f.rows.changesSince(after)
	return page, whole, true
}

// MaxChangeAge returns the longest time for which the changes that were passed to the last call of OnChange may have been in the
// store. It is meant to be called by OnChange. It returns 0 for the first page, since nothing was known before that.
func (f *Follower) MaxChangeAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxChangeAge
}

// poll sends one request to the store and applies its result. While the store is lost, it does not let the store wait for a change, so that
// a request that gets no response is given up sooner.
func (f *Follower) poll(ctx context.Context) error {
	if f.storeLost {
		return f.read(ctx, f.Source, 0)
	}
	return f.read(ctx, f.Source, f.untilExpiry(f.Wait))
}

// pollFallback reads from Fallback once, if there is one.
func (f *Follower) pollFallback(ctx context.Context) {
	if f.Fallback == nil || ctx.Err() != nil {
		return
	}
	err := f.read(ctx, f.Fallback, 0)
	age, _ := f.Age()
	if err != nil {
		f.Log.Debug("no other process knows more", "table", f.Table, "err", err, "age", age)
		return
	}
	if !f.readElsewhere {
		f.readElsewhere = true
		f.Log.Info("table is read from other processes while the store is lost", "table", f.Table, "version", railversion.String(f.Version()), "age", age)
	}
}

// read requests the changes since the last page, or the whole table, from a source, and applies the result.
func (f *Follower) read(ctx context.Context, source Source, wait time.Duration) error {
	start := f.Now()
	if !f.isLoaded() {
		return f.readAll(ctx, source, start)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.Timeout)
	defer cancel()
	page, err := source.Changes(ctx, f.Table, f.Version(), wait)
	if errors.Is(err, ErrHistoryGone) {
		f.Log.Info("change history is not available; reading the whole table", "table", f.Table, "after", railversion.String(f.Version()))
		return f.readAll(ctx, source, start)
	}
	if err != nil {
		return err
	}
	sentAt := start
	if len(page.Rows) == 0 && f.Now()-start >= wait {
		sentAt += wait // The store has waited for a change until then.
	}
	return f.apply(page, sentAt, false)
}

func (f *Follower) readAll(ctx context.Context, source Source, start time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	page, err := source.Table(ctx, f.Table)
	if err != nil {
		return err
	}
	return f.apply(page, start, true)
}

// apply applies a page that the store sent at the given time or later, unless the page itself says since when it is current. A full page
// replaces the replica. It returns an error if another process's page is not newer than the replica.
func (f *Follower) apply(page Page, sentAt time.Duration, full bool) error {
	f.mu.Lock()
	now := f.Now()
	restored := f.loaded && railversion.Era(page.Version) != railversion.Era(f.version)
	if page.CurrentAt != 0 {
		sentAt = page.CurrentAt
		if f.loaded && !restored && page.Now <= f.pageAt {
			f.mu.Unlock()
			return errOutdated
		}
	}
	confirmedAt := f.observe(page, sentAt, restored)
	if restored || f.endsOutage(confirmedAt, now) {
		f.rows.startGrace(f.confirmedAt, now+ReturnGrace)
	}
	f.unanswered = false
	if full {
		f.rows.replace(page.Rows, restored, now)
		f.rows.startHistory(page.Version)
		f.version = page.Version
	}
	for _, row := range page.Rows {
		if !full {
			f.rows.change(row, now)
		}
	}
	f.version = max(f.version, page.Version)
	f.loaded = true
	changed := f.rows.expire(now) || full || len(page.Rows) > 0
	rows := f.rows.view()
	kept := len(f.rows.kept)
	f.mu.Unlock()
	if restored {
		f.Log.Warn("store was restored from an older copy", "table", f.Table, "version", railversion.String(page.Version), "kept", kept)
		f.notifyRecovery()
	}
	if changed {
		f.OnChange(rows)
	}
	f.mu.Lock()
	if !f.rows.awaitsNewerStates(now) {
		f.confirmedAt = max(f.confirmedAt, confirmedAt)
	}
	f.mu.Unlock()
	return nil
}

// observe updates the store's clock and the longest time for which the changes in a page may have been in the store: they were made
// after the last page, and after any page of another follower whose version is lower. The clock of a store that was restored since the last
// page may have been set back. It returns the earliest time at which the page may have been current: the one that the store's clock shows in
// it, so that a response which the store has delayed until a change says more than the time of its request.
func (f *Follower) observe(page Page, sentAt time.Duration, restored bool) (confirmedAt time.Duration) {
	if f.Clock == nil {
		f.Clock = &railstoreclock.Clock{Local: f.Now}
	}
	oldestChange := page.Version
	for _, row := range page.Rows {
		if row.Version > f.version {
			oldestChange = min(oldestChange, row.Version)
		}
	}
	changedAfter := max(f.pageAt, f.Clock.WrittenAfter(oldestChange))
	f.Clock.Observe(page.Version, page.Now, sentAt)
	switch {
	case restored:
		f.maxChangeAge = f.Now() - f.confirmedAt
	case f.loaded:
		f.maxChangeAge = max(f.Clock.Now()-changedAfter, 0)
	}
	f.pageAt = page.Now
	return max(sentAt, f.Clock.EarliestLocal(page.Now))
}

func (f *Follower) isLoaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

func (f *Follower) logLoss(ctx context.Context, err error) {
	if f.storeLost || ctx.Err() != nil {
		return
	}
	f.storeLost, f.recoveredSinceLoss = true, f.recoverySignal()
	if age, known := f.Age(); known {
		f.Log.Warn("store lost", "table", f.Table, "err", err, "age", age)
		return
	}
	f.Log.Warn("store does not answer yet", "table", f.Table, "err", err)
}

func (f *Follower) logRecovery() {
	if f.storeLost {
		f.storeLost, f.readElsewhere = false, false
		f.Log.Info("store regained", "table", f.Table, "version", railversion.String(f.Version()))
		select {
		case <-f.recoveredSinceLoss: // The other followers know, and the requests that they have sent since must not be abandoned.
		default:
			f.notifyRecovery()
		}
	}
}

func (f *Follower) notifyRecovery() {
	if f.Recovered != nil {
		f.Recovered.Notify()
	}
}
