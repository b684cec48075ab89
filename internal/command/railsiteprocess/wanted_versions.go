package railsiteprocess

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railschedule"
	"github.com/fulmarrail/fulmarrail/internal/store/railera"
	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
)

const (
	// tableWantedVersions is the table that holds, for each version of weights, when it became wanted, so that the processes agree on
	// how much of the rollout time has passed.
	tableWantedVersions = "namings"
	minRetryDelay       = 300 * time.Millisecond
	maxRetryDelay       = 5 * time.Second
	readTimeout         = 300 * time.Millisecond
	// settleDelay is the time within which the processes that know a version have recorded what they know of it.
	settleDelay = time.Second
	// recordTolerance is the difference between two times of a version up to which the recorded one is kept.
	recordTolerance = 20 * time.Millisecond
	// maxWantedAtMillis is the longest time in milliseconds that a time.Duration holds.
	maxWantedAtMillis = math.MaxInt64 / int64(time.Millisecond)
)

// wantedVersion is one row of the table.
type wantedVersion struct {
	model   string
	version int64
	// wantedAt is the earliest time on the store's clock at which the version may have become wanted, or a guess of it.
	wantedAt time.Duration
	guessed  bool
}

// wantedVersionRow is the value of a row.
type wantedVersionRow struct {
	WantedAtMillis int64 `json:"wantedAtMillis"`
	Guessed        bool  `json:"guessed"`
}

// key returns the key of the version's row.
func (w wantedVersion) key() string {
	return w.model + "/" + strconv.FormatInt(w.version, 10)
}

// improves reports whether a record should be replaced by this one.
func (w wantedVersion) improves(recorded wantedVersion) bool {
	switch {
	case w.guessed && recorded.guessed:
		return w.wantedAt < recorded.wantedAt-recordTolerance
	case w.guessed || recorded.guessed:
		return recorded.guessed
	}
	return w.wantedAt > recorded.wantedAt+recordTolerance
}

// ShareWantedVersion exchanges with the other processes, through the store, when a version of weights became wanted. It retries until
// that succeeds, and a process that has only guessed looks for a record until the rollout time is over. If the store is restored while a
// copy may lack the record, it does so again. It returns early if ctx is done.
func (p *Process) ShareWantedVersion(ctx context.Context, model string, version int64, age time.Duration, guessed bool) {
	ctx, cancel := context.WithTimeout(ctx, max(p.Site.Bounds.RolloutTime, railera.MaxCopyAge))
	defer cancel()
	own := railschedule.WantedVersion{Version: version, Age: age, Guessed: guessed}
	for era := p.Store.Era(); ; era = p.Store.Era() {
		p.shareWantedVersion(ctx, wantedVersion{model: model, version: version, guessed: own.Guessed}, p.Clock.Now()-own.Age)
		if !p.Store.AwaitRestore(ctx, era) {
			return
		}
		railtimer.Sleep(ctx, rand.N(settleDelay)) // Spreads the writes of all processes.
		list := p.Config.WantedVersions(model)
		if i := slices.IndexFunc(list, func(w railschedule.WantedVersion) bool { return w.Version == version }); i >= 0 {
			own = list[i] // This process may have learned more from the record.
		}
	}
}

// shareWantedVersion exchanges what this process knows, or guesses, of a version until all agree. wantedSince is a time since boot.
func (p *Process) shareWantedVersion(ctx context.Context, own wantedVersion, wantedSince time.Duration) {
	retry := newRetryBackoff()
	for settled := false; ; {
		age := p.Clock.Now() - wantedSince
		own.wantedAt = p.StoreClock.Now() - age
		recorded, err := p.exchangeWantedVersion(ctx, own)
		switch {
		case errors.Is(err, railtable.ErrConflict): // Another process has just written the row.
		case err != nil:
			p.Log.Warn("failed to share when a version of weights became wanted; retrying", "row", tableWantedVersions+"/"+own.key(), "err", err)
		case settled && !recorded.guessed, age > p.Site.Bounds.RolloutTime:
			return
		}
		delay := settleDelay
		if err != nil {
			delay = retry.NextBackOff()
		}
		settled = err == nil
		if !railtimer.Sleep(ctx, delay) {
			return
		}
	}
}

// exchangeWantedVersion adopts what is recorded of a version, and records what this process knows if that is better. It returns the
// record.
func (p *Process) exchangeWantedVersion(ctx context.Context, own wantedVersion) (wantedVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Site.Process.CallTimeout)
	defer cancel()
	row, err := p.Store.Row(ctx, tableWantedVersions, own.key())
	if err != nil {
		return wantedVersion{}, err
	}
	recorded, err := parseWantedVersion(row)
	if row.Version > 0 && err == nil {
		p.adoptWantedVersion(recorded)
	}
	if row.Version > 0 && err == nil && !own.improves(recorded) {
		return recorded, nil
	}
	value, err := json.Marshal(wantedVersionRow{WantedAtMillis: own.wantedAt.Milliseconds(), Guessed: own.guessed})
	if err != nil {
		return wantedVersion{}, errors.Wrap(err, "encode the row")
	}
	_, err = p.Store.Change(ctx, railtable.Put(tableWantedVersions, own.key(), value).WithVersion(row.Version))
	return own, err
}

// adoptWantedVersion passes a record to the configuration.
func (p *Process) adoptWantedVersion(recorded wantedVersion) {
	p.Config.RecordWantedVersion(recorded.model, recorded.version, max(p.StoreClock.Now()-recorded.wantedAt, 0), recorded.guessed)
}

// RestoreWantedVersions restores when versions of weights became wanted. If the first attempt to read the records fails, it retries in
// the background until it succeeds.
func (p *Process) RestoreWantedVersions() {
	if p.readWantedVersions() || !p.restoringWantedVersions.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.restoringWantedVersions.Store(false)
		retry := newRetryBackoff()
		for !p.readWantedVersions() {
			time.Sleep(retry.NextBackOff())
		}
	}()
}

func newRetryBackoff() *backoff.ExponentialBackOff {
	retry := &backoff.ExponentialBackOff{InitialInterval: minRetryDelay, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: maxRetryDelay}
	retry.Reset()
	return retry
}

// readWantedVersions reads and adopts all records, and reports whether they could be read.
func (p *Process) readWantedVersions() bool {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	sentAt := p.Clock.Now()
	page, err := p.Store.Table(ctx, tableWantedVersions)
	if err != nil {
		p.Log.Warn("failed to read when versions of weights became wanted", "err", err)
		return false
	}
	p.StoreClock.Observe(page.Version, page.Now, sentAt)
	p.wantedVersionsRead.Store(true)
	var faults []railreplica.Fault
	for _, row := range page.Rows {
		recorded, err := parseWantedVersion(row)
		if err != nil {
			faults = append(faults, railreplica.Fault{Table: tableWantedVersions, Key: row.Key, Version: row.Version, Err: err})
			continue
		}
		p.adoptWantedVersion(recorded)
	}
	p.rowFaults[tableWantedVersions].Report(faults)
	return true
}

// parseWantedVersion decodes a row. A value that is only a number, of a process of an earlier version, counts as a guess, since it may
// be later than the time at which the version became wanted.
func parseWantedVersion(row railreplica.Row) (wantedVersion, error) {
	model, number, ok := strings.Cut(row.Key, "/")
	version, err := strconv.ParseInt(number, 10, 64)
	if !ok || err != nil {
		return wantedVersion{}, errors.Newf("key is not of the form MODEL/VERSION: %v", err)
	}
	value := wantedVersionRow{Guessed: true}
	if value.WantedAtMillis, err = strconv.ParseInt(string(row.Value), 10, 64); err != nil {
		err = json.Unmarshal(row.Value, &value)
	}
	if err == nil && (version <= 0 || value.WantedAtMillis < -maxWantedAtMillis || value.WantedAtMillis > maxWantedAtMillis) {
		err = errors.Newf("version %d or time %d is out of range", version, value.WantedAtMillis)
	}
	return wantedVersion{model: model, version: version, wantedAt: time.Duration(value.WantedAtMillis) * time.Millisecond, guessed: value.Guessed}, err
}
