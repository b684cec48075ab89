package railsiteprocess

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
)

const (
	// tableWantedVersions is the table that holds, for each version of weights, the time on the store's clock at which it became
	// wanted, so that a restarted process knows how much of the rollout time has passed.
	tableWantedVersions = "namings"
	recordAttempts      = 5
	retryDelay          = 300 * time.Millisecond
	readTimeout         = 300 * time.Millisecond
	// readAttempts is the maximum number of further attempts to read the table after the first one has failed.
	readAttempts = 200
)

// wantedVersion is one row of the table. wantedAt is a time on the store's clock.
type wantedVersion struct {
	model    string
	version  int64
	wantedAt time.Duration
}

// RecordWantedVersion stores that a version of weights became wanted the given time ago, unless another process has already stored it.
// It gives up after recordAttempts failed attempts.
func (p *Process) RecordWantedVersion(ctx context.Context, model string, version int64, age time.Duration) {
	wantedAt := strconv.FormatInt((p.configFollower.StoreNow() - age).Milliseconds(), 10)
	key := model + "/" + strconv.FormatInt(version, 10)
	for range recordAttempts {
		requestCtx, cancel := context.WithTimeout(ctx, p.Site.Process.CallTimeout)
		_, err := p.Store.Change(requestCtx, railtable.Put(tableWantedVersions, key, []byte(wantedAt)).WithVersion(0))
		cancel()
		if err == nil || errors.Is(err, railtable.ErrConflict) {
			return
		}
		p.Log.Warn("failed to store the time at which a version of weights became wanted", "row", tableWantedVersions+"/"+key, "err", err)
		if !railtimer.Sleep(ctx, retryDelay) {
			return
		}
	}
}

// restoreWantedVersions restores the times at which versions of weights became wanted. If the first attempt to read them fails, it
// retries in the background, at most readAttempts times.
func (p *Process) restoreWantedVersions() {
	if p.wantedVersionsRead.Load() || p.readWantedVersions() {
		return
	}
	go func() {
		for range readAttempts {
			time.Sleep(retryDelay)
			if p.readWantedVersions() {
				return
			}
		}
	}()
}

// readWantedVersions reads and applies the table, and reports whether it could be read.
func (p *Process) readWantedVersions() bool {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	page, err := p.Store.Table(ctx, tableWantedVersions)
	if err != nil {
		p.Log.Warn("failed to read the times at which versions of weights became wanted", "err", err)
		return false
	}
	p.wantedVersionsRead.Store(true)
	var faults []railreplica.Fault
	for _, row := range page.Rows {
		wanted, err := parseWantedVersion(row)
		if err != nil {
			faults = append(faults, railreplica.Fault{Table: tableWantedVersions, Key: row.Key, Version: row.Version, Err: err})
			continue
		}
		p.Config.RecordWantedVersion(wanted.model, wanted.version, max(page.Now-wanted.wantedAt, 0))
	}
	p.rowFaults[tableWantedVersions].Report(faults)
	return true
}

func parseWantedVersion(row railreplica.Row) (wantedVersion, error) {
	model, number, ok := strings.Cut(row.Key, "/")
	version, err := strconv.ParseInt(number, 10, 64)
	if !ok || err != nil {
		return wantedVersion{}, errors.Newf("key is not of the form MODEL/VERSION: %v", err)
	}
	ms, err := strconv.ParseInt(string(row.Value), 10, 64)
	return wantedVersion{model: model, version: version, wantedAt: time.Duration(ms) * time.Millisecond}, err
}
