package railreplica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

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
