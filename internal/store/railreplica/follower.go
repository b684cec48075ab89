package railreplica

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
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
	// unapplied is set while OnChange has not returned since a change. It is called again with the next page then, and the replica is not confirmed
	// to be current before it returns.
	unapplied bool
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

// read requests the changes since the last page, or the whole table, from a source, and applies the result. A panic is an error: the replica gets older
// until a page can be read and applied, which its users see by its age.
func (f *Follower) read(ctx context.Context, source Source, wait time.Duration) (err error) {
	defer func() {
		if p := railpanic.Recovered(recover(), f.Log, "table", "table", f.Table); p != nil {
			err = p
		}
	}()
	return f.readPage(ctx, source, wait)
}

func (f *Follower) readPage(ctx context.Context, source Source, wait time.Duration) error {
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
	m, err := f.merge(page, sentAt, full)
	if err != nil {
		return err
	}
	if m.restored {
		f.Log.Warn("store was restored from an older copy", "table", f.Table, "version", railversion.String(page.Version), "kept", m.kept)
		f.notifyRecovery()
	}
	if m.unapplied {
		f.OnChange(m.rows)
	}
	f.confirm(m)
	return nil
}

// merged is the result of merging a page into the replica.
type merged struct {
	now, confirmedAt time.Duration
	rows             map[string]Row
	// unapplied is set if OnChange has to be called with rows.
	unapplied, restored bool
	kept                int
}

// merge merges a page into the replica, which is not confirmed to be current yet.
func (f *Follower) merge(page Page, sentAt time.Duration, full bool) (merged, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	restored := f.loaded && railversion.Era(page.Version) != railversion.Era(f.version)
	if page.CurrentAt != 0 {
		sentAt = page.CurrentAt
		if f.loaded && !restored && page.Now <= f.pageAt {
			return merged{}, errOutdated
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
	if f.rows.expire(now) || full || len(page.Rows) > 0 {
		f.unapplied = true
	}
	return merged{now: now, confirmedAt: confirmedAt, rows: f.rows.view(), unapplied: f.unapplied, restored: restored, kept: len(f.rows.kept)}, nil
}

// confirm records that the rows of a merged page are in force.
func (f *Follower) confirm(m merged) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unapplied = false
	if !f.rows.awaitsNewerStates(m.now) {
		f.confirmedAt = max(f.confirmedAt, m.confirmedAt)
	}
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
