package railreplica

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/store/railversion"
)

// errOutdated means that another process knows nothing that is newer than this replica.
var errOutdated = errors.New("the other process's replica is not newer")

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
