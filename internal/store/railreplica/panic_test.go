package railreplica_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
)

// Guards against a change that ends the process, or that counts as current although it could not be applied: a key that it revokes would be accepted
// on.
func TestReplicaIsNotConfirmedBeforeChangeIsApplied(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		var fails atomic.Bool
		var applied atomic.Int64
		s := &fakeSource{table: railreplica.Page{Version: 1, Rows: []railreplica.Row{row("a", 1)}}}
		f := startFollower(t, s, func(rows map[string]railreplica.Row) {
			if fails.Load() {
				panic("at a change")
			}
			applied.Store(int64(len(rows)))
		}, nil)
		time.Sleep(5 * time.Second)
		age, loaded := f.Age()
		qt.Check(t, loaded, qt.IsTrue)
		qt.Check(t, age < 2*time.Second, qt.IsTrue)
		fails.Store(true)
		s.update(func(s *fakeSource) {
			s.changes = []railreplica.Page{{Version: 9, Rows: []railreplica.Row{row("b", 9)}}}
		})
		time.Sleep(20 * time.Second)
		age, _ = f.Age()
		qt.Check(t, age > 15*time.Second, qt.IsTrue, qt.Commentf("%s", age))
		qt.Check(t, applied.Load(), qt.Equals, int64(1))
		fails.Store(false)
		time.Sleep(5 * time.Second)
		age, _ = f.Age()
		qt.Check(t, age < 2*time.Second, qt.IsTrue, qt.Commentf("%s", age))
		qt.Check(t, applied.Load(), qt.Equals, int64(2))
	})
}

// panickingSource panics at its first read of changes.
type panickingSource struct {
	*fakeSource
	panicked bool
}

func (s *panickingSource) Changes(ctx context.Context, table string, after int64, wait time.Duration) (railreplica.Page, error) {
	if !s.panicked {
		s.panicked = true
		panic("at a page")
	}
	return s.fakeSource.Changes(ctx, table, after, wait)
}

// Guards against a page of the store that ends the process, or the following of its table.
func TestPanicInReadIsAFailedRead(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		s := &fakeSource{table: railreplica.Page{Version: 1, Rows: []railreplica.Row{row("a", 1)}}}
		start := time.Now()
		f := &railreplica.Follower{
			Source: &panickingSource{fakeSource: s}, Table: "t", Wait: time.Second, Timeout: time.Second, Now: func() time.Duration { return time.Since(start) },
			OnChange: func(map[string]railreplica.Row) {}, Log: slog.New(slog.DiscardHandler),
		}
		go f.Run(t.Context())
		time.Sleep(5 * time.Second)
		age, loaded := f.Age()
		qt.Check(t, loaded, qt.IsTrue)
		qt.Check(t, age < 2*time.Second, qt.IsTrue, qt.Commentf("%s", age))
	})
}
