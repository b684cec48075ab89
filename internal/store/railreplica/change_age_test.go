package railreplica_test

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/standin/railtables"
	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
	"github.com/fulmarrail/fulmarrail/internal/store/railstoreclock"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
)

// heartbeatInterval is the interval at which other processes write to the store.
const heartbeatInterval = 50 * time.Millisecond

// distantStore is a store whose requests and responses can be delayed on their way or fail.
type distantStore struct {
	tables railtables.Tables

	mu                          sync.Mutex
	requestDelay, responseDelay time.Duration
	unreachable, historyIsAtEnd bool
	changedAt                   time.Time
	maxChangeAge, actualAge     time.Duration
	changesSeen                 int
	// tablesRead is the number of reads of a whole table.
	tablesRead int
}

// apply applies a change of the store's state, if any.
func (s *distantStore) apply(change func(*distantStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change != nil {
		change(s)
	}
}

func (s *distantStore) Table(ctx context.Context, table string) (railreplica.Page, error) {
	s.mu.Lock()
	unreachable, responseDelay := s.unreachable, s.responseDelay
	s.tablesRead++
	s.mu.Unlock()
	if unreachable {
		return railreplica.Page{}, errors.New("unreachable")
	}
	page := s.tables.Table(table)
	railtimer.Sleep(ctx, responseDelay)
	return page, nil
}

func (s *distantStore) Changes(ctx context.Context, table string, after int64, wait time.Duration) (railreplica.Page, error) {
	s.mu.Lock()
	requestDelay, unreachable, gone := s.requestDelay, s.unreachable, s.historyIsAtEnd
	s.historyIsAtEnd = false
	s.mu.Unlock()
	switch {
	case unreachable:
		return railreplica.Page{}, errors.New("unreachable")
	case gone:
		return railreplica.Page{}, railreplica.ErrHistoryGone
	}
	railtimer.Sleep(ctx, requestDelay)
	page, err := s.tables.Changes(ctx, table, after, wait)
	s.mu.Lock()
	responseDelay := s.responseDelay
	s.mu.Unlock()
	railtimer.Sleep(ctx, responseDelay)
	return page, err
}

// tableReads returns the number of reads of a whole table.
func (s *distantStore) tableReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tablesRead
}

// change changes the followed table.
func (s *distantStore) change(t *testing.T) {
	s.apply(func(s *distantStore) { s.changedAt = time.Now() })
	_, err := s.tables.Change(railtable.Put("t", "k", []byte("v")))
	qt.Assert(t, err, qt.IsNil)
}

// heartbeats writes to another table until the test ends.
func (s *distantStore) heartbeats(ctx context.Context) {
	for i := 0; railtimer.Sleep(ctx, heartbeatInterval); i++ {
		_, _ = s.tables.Change(railtable.Put("other", "k", []byte(strconv.Itoa(i))))
	}
}

// The age of a change decides how much of its deadline is left. Guards against an age that is too low after the change, the poll or
// its response was delayed, and against one that is higher than the last response before the change justifies.
func TestMaxChangeAgeBoundsTimeSinceChange(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		// quiet is set if nobody else writes to the store.
		quiet bool
		// otherInterval is the interval at which another follower reads the store, or 0 if there is none.
		otherInterval time.Duration
		// start, before and after are applied to the store at first, 2.5 s before the change and the given time after it.
		start, before, after func(*distantStore)
		afterDelay           time.Duration
		// excess is the largest difference by which the age may exceed the time since the change.
		excess time.Duration
	}{
		"learned of at once":                {excess: second + 20*time.Millisecond},
		"another follower reads the store":  {otherInterval: 100 * time.Millisecond, excess: 120 * time.Millisecond},
		"learned of after an outage":        {before: func(s *distantStore) { s.unreachable = true }, after: func(s *distantStore) { s.unreachable = false }, afterDelay: 5 * second, excess: 4 * second},
		"response delayed":                  {before: func(s *distantStore) { s.responseDelay = 2 * second }, after: func(s *distantStore) { s.responseDelay = 0 }, afterDelay: 3 * second, excess: 4 * second},
		"request delayed":                   {before: func(s *distantStore) { s.requestDelay = 2 * second }, after: func(s *distantStore) { s.requestDelay = 0 }, afterDelay: 3 * second, excess: 4 * second},
		"request delayed, quiet store":      {quiet: true, before: func(s *distantStore) { s.requestDelay = 2 * second }, after: func(s *distantStore) { s.requestDelay = 0 }, afterDelay: 3 * second, excess: 4 * second},
		"history lost by the platform":      {before: func(s *distantStore) { s.unreachable, s.historyIsAtEnd = true, true }, after: func(s *distantStore) { s.unreachable = false }, afterDelay: 2 * second, excess: 4 * second},
		"slow since the start":              {start: func(s *distantStore) { s.responseDelay = 2 * second }, excess: 6 * second},
		"slow since the start, quiet store": {quiet: true, start: func(s *distantStore) { s.responseDelay = 2 * second }, excess: 6 * second},
		"slow since the start, then away":   {start: func(s *distantStore) { s.responseDelay = 2 * second }, before: func(s *distantStore) { s.unreachable = true }, after: func(s *distantStore) { s.unreachable, s.responseDelay = false, 0 }, afterDelay: 5 * second, excess: 6 * second},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				s := &distantStore{}
				s.apply(c.start)
				_ = s.tables.Table("t") // The store's clock starts before the process.
				time.Sleep(second)
				if !c.quiet {
					go s.heartbeats(t.Context())
				}
				s.follow(t, c.otherInterval)
				time.Sleep(10300 * time.Millisecond)
				s.apply(c.before)
				time.Sleep(2510 * time.Millisecond) // Between two heartbeats.
				s.change(t)
				time.Sleep(c.afterDelay)
				s.apply(c.after)
				time.Sleep(10 * second)
				s.mu.Lock()
				defer s.mu.Unlock()
				qt.Assert(t, s.changesSeen, qt.Equals, 1)
				qt.Check(t, s.maxChangeAge >= s.actualAge, qt.IsTrue, qt.Commentf("age %s, time since the change %s", s.maxChangeAge, s.actualAge))
				qt.Check(t, s.maxChangeAge <= s.actualAge+c.excess, qt.IsTrue, qt.Commentf("age %s, time since the change %s", s.maxChangeAge, s.actualAge))
			})
		})
	}
}

// follow follows the table t and records the age of its change. If otherInterval is not 0, another follower with the same clock reads
// another table at that interval.
func (s *distantStore) follow(t *testing.T, otherInterval time.Duration) {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	clock := &railstoreclock.Clock{Local: now}
	var f *railreplica.Follower
	f = &railreplica.Follower{
		Source: s, Table: "t", Wait: time.Second, Timeout: 3 * time.Second, Now: now, Clock: clock, Log: slog.New(slog.DiscardHandler),
		OnChange: func(rows map[string]railreplica.Row) {
			if len(rows) > 0 {
				s.apply(func(s *distantStore) {
					s.changesSeen++
					s.maxChangeAge, s.actualAge = f.MaxChangeAge(), time.Since(s.changedAt)
				})
			}
		},
	}
	go f.Run(t.Context())
	if otherInterval > 0 {
		other := &railreplica.Follower{
			Source: s, Table: "other", PollDelay: otherInterval, Timeout: time.Second, Now: now, Clock: clock, Log: slog.New(slog.DiscardHandler),
			OnChange: func(map[string]railreplica.Row) {},
		}
		go other.Run(t.Context())
	}
}
