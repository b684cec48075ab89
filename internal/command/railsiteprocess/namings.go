package railsiteprocess

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/platform/railrows"
)

const (
	// tableNamings holds the time on the store's clock at which each version of weights was first met, so that a process
	// that starts anew knows how much of the time for it has passed.
	tableNamings = "namings"
	namingTries  = 5
	namingPause  = 300 * time.Millisecond
	namingLimit  = 300 * time.Millisecond
)

// naming is one row of the table.
type naming struct {
	model   string
	version int64
	at      time.Duration
}

// RecordNaming writes down when a version of weights was first met, unless another process has done so.
func (p *Process) RecordNaming(ctx context.Context, model string, version int64) {
	at := strconv.FormatInt(p.config.StoreNow().Milliseconds(), 10)
	key := model + "/" + strconv.FormatInt(version, 10)
	for range namingTries {
		bounded, cancel := context.WithTimeout(ctx, p.Site.Process.Timeout)
		err := p.Store.Create(bounded, tableNamings, key, []byte(at))
		cancel()
		if err == nil {
			return
		}
		p.Log.Warn("time of new weights not recorded", "row", tableNamings+"/"+key, "err", err)
		if !railtimer.Sleep(ctx, namingPause) {
			return
		}
	}
}

// restoreNamings takes over when the versions of weights were named.
func (p *Process) restoreNamings() {
	ctx, cancel := context.WithTimeout(context.Background(), namingLimit)
	defer cancel()
	page, err := p.Store.Table(ctx, tableNamings)
	if err != nil {
		p.Log.Warn("times of new weights not read, they are estimated", "err", err)
		return
	}
	var list []naming
	for _, row := range page.Rows {
		n, err := parseNaming(row)
		if err != nil {
			p.Log.Warn("row does not tell when weights were named", "row", tableNamings+"/"+row.Key, "version", row.Version, "err", err)
			continue
		}
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b naming) int { return cmp.Compare(a.version, b.version) })
	for _, n := range list {
		p.Current.Learn(n.model, n.version, max(page.Now-n.at, 0))
	}
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
