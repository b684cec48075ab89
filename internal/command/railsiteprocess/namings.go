package railsiteprocess

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/store/railrows"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
)

const (
	// tableNamings holds the time on the store's clock at which each version of weights was first met, so that a process
	// that starts anew knows how much of the time for it has passed.
	tableNamings = "namings"
	namingTries  = 5
	namingPause  = 300 * time.Millisecond
	namingLimit  = 300 * time.Millisecond
	// namingReads bounds the attempts to read the table at the start.
	namingReads = 200
)

// naming is one row of the table.
type naming struct {
	model   string
	version int64
	at      time.Duration
}

// RecordNaming writes down when a version of weights was named, unless another process has done so.
func (p *Process) RecordNaming(ctx context.Context, model string, version int64, age time.Duration) {
	at := strconv.FormatInt((p.config.StoreNow() - age).Milliseconds(), 10)
	key := model + "/" + strconv.FormatInt(version, 10)
	for range namingTries {
		bounded, cancel := context.WithTimeout(ctx, p.Site.Process.CallTimeout)
		_, err := p.Store.Change(bounded, railtable.Put(tableNamings, key, []byte(at)).WithVersion(0))
		cancel()
		if err == nil || errors.Is(err, railtable.ErrConflict) {
			return
		}
		p.Log.Warn("time of new weights not recorded", "row", tableNamings+"/"+key, "err", err)
		if !railtimer.Sleep(ctx, namingPause) {
			return
		}
	}
}

// restoreNamings takes over when the versions of weights were named; when that can't be read it is tried again until it can.
func (p *Process) restoreNamings() {
	if p.recorded.Load() || p.readNamings() {
		return
	}
	go func() {
		for range namingReads {
			time.Sleep(namingPause)
			if p.readNamings() {
				return
			}
		}
	}()
}

func (p *Process) readNamings() bool {
	ctx, cancel := context.WithTimeout(context.Background(), namingLimit)
	defer cancel()
	page, err := p.Store.Table(ctx, tableNamings)
	if err != nil {
		p.Log.Warn("times of new weights not read", "err", err)
		return false
	}
	p.recorded.Store(true)
	var faults []railrows.Fault
	for _, row := range page.Rows {
		n, err := parseNaming(row)
		if err != nil {
			faults = append(faults, railrows.Fault{Table: tableNamings, Key: row.Key, Version: row.Version, Err: err})
			continue
		}
		p.Current.RecordWantedVersion(n.model, n.version, max(page.Now-n.at, 0))
	}
	p.faults[tableNamings].Report(faults)
	return true
}

func parseNaming(row railrows.Row) (naming, error) {
	model, number, ok := strings.Cut(row.Key, "/")
	version, err := strconv.ParseInt(number, 10, 64)
	if !ok || err != nil {
		return naming{}, errors.Newf("the key is not MODEL/VERSION: %v", err)
	}
	ms, err := strconv.ParseInt(string(row.Value), 10, 64)
	return naming{model: model, version: version, at: time.Duration(ms) * time.Millisecond}, err
}
