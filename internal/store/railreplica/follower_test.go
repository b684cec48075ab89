package railreplica_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/core/railsignal"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
)

// fakeSource is a source whose responses are set by its fields.
type fakeSource struct {
	mu      sync.Mutex
	table   railreplica.Page
	changes []railreplica.Page
	err     error
	hang    bool
	// historyGone makes the next call of Changes return ErrHistoryGone.
	historyGone bool
	// early makes Changes return at once although there is no change.
	early bool
}

func (s *fakeSource) Table(context.Context, string) (railreplica.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table, s.err
}

func (s *fakeSource) Changes(ctx context.Context, _ string, _ int64, wait time.Duration) (railreplica.Page, error) {
	page, hang, err := s.next()
	if err != nil || len(page.Rows) > 0 || s.isEarly() {
		return page, err
	}
	if hang {
		<-ctx.Done()
		return railreplica.Page{}, ctx.Err()
	}
	select {
	case <-time.After(wait):
		return railreplica.Page{Version: 9}, nil
	case <-ctx.Done():
		return railreplica.Page{}, ctx.Err()
	}
}

// next returns the next page of changes, and whether the call hangs if there is none.
func (s *fakeSource) next() (page railreplica.Page, hang bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.err != nil:
		return page, false, s.err
	case s.historyGone:
		s.historyGone = false
		return page, false, railreplica.ErrHistoryGone
	case len(s.changes) > 0:
		page, s.changes = s.changes[0], s.changes[1:]
	}
	return page, s.hang, nil
}

func (s *fakeSource) isEarly() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.early
}

// update changes the source's responses.
func (s *fakeSource) update(change func(*fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// rowsRecorder records the rows passed to the last OnChange call.
type rowsRecorder struct {
	mu   sync.Mutex
	rows map[string]railreplica.Row
}

func (r *rowsRecorder) store(rows map[string]railreplica.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows = rows
}

func (r *rowsRecorder) load() map[string]railreplica.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows
}

func startFollower(t *testing.T, s *fakeSource, onChange func(map[string]railreplica.Row), recovered *railsignal.Signal) *railreplica.Follower {
	start := time.Now()
	f := &railreplica.Follower{
		Source: s, Table: "t", Wait: time.Second, Timeout: time.Second, Now: func() time.Duration { return time.Since(start) },
		Recovered: recovered, OnChange: onChange, Log: slog.New(slog.DiscardHandler),
	}
	go f.Run(t.Context())
	return f
}

func row(key string, version int64) railreplica.Row {
	return railreplica.Row{Key: key, Value: []byte("v"), Version: version}
}

func TestFollowerAppliesChangesAndRemovals(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		s := &fakeSource{table: railreplica.Page{Rows: []railreplica.Row{row("a", 1), row("b", 2)}, Version: 2}}
		s.changes = []railreplica.Page{{Rows: []railreplica.Row{row("c", 3), {Key: "a", Version: 4, Removed: true}}, Version: 4}}
		var r rowsRecorder
		f := startFollower(t, s, r.store, nil)
		time.Sleep(10 * time.Millisecond)
		rows := r.load()
		qt.Check(t, len(rows), qt.Equals, 2)
		qt.Check(t, rows["b"].Version, qt.Equals, int64(2))
		qt.Check(t, rows["c"].Version, qt.Equals, int64(3))
		qt.Check(t, f.Version(), qt.Equals, int64(4))
	})
}

func TestFollowerRereadsTableWhenHistoryIsGone(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		s := &fakeSource{table: railreplica.Page{Rows: []railreplica.Row{row("a", 1)}, Version: 1}}
		var r rowsRecorder
		startFollower(t, s, r.store, nil)
		time.Sleep(1500 * time.Millisecond)
		s.update(func(s *fakeSource) { s.err = errors.New("store unavailable") })
		time.Sleep(time.Second)
		qt.Check(t, len(r.load()), qt.Equals, 1, qt.Commentf("the replica is kept while the store does not respond"))
		s.update(func(s *fakeSource) { s.table, s.err, s.historyGone = railreplica.Page{Version: 20}, nil, true })
		time.Sleep(5 * time.Second)
		qt.Check(t, len(r.load()), qt.Equals, 0, qt.Commentf("rows removed in the lost history are removed"))
	})
}

// The age decides whether keys may be trusted, so it must increase while the store does not respond.
func TestAgeGrowsWhileStoreDoesNotRespond(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		s := &fakeSource{table: railreplica.Page{Version: 1}}
		f := startFollower(t, s, func(map[string]railreplica.Row) {}, nil)
		time.Sleep(10500 * time.Millisecond)
		age, known := f.Age()
		qt.Check(t, known, qt.IsTrue)
		qt.Check(t, age <= time.Second, qt.IsTrue, qt.Commentf("age %s", age))
		s.update(func(s *fakeSource) { s.hang = true })
		time.Sleep(6 * time.Second)
		age, _ = f.Age()
		qt.Check(t, age >= 5*time.Second, qt.IsTrue, qt.Commentf("age %s", age))
	})
}

// Guards against tables that recover at different times. After a power loss of all VMs during a store outage, the table of entries
// was read up to a second after the configuration, since each follower waited for its own retry interval.
func TestFollowerRetriesWhenStoreRespondsToAnother(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		var recovered railsignal.Signal
		s := &fakeSource{err: errors.New("store unavailable")}
		f := startFollower(t, s, func(map[string]railreplica.Row) {}, &recovered)
		time.Sleep(20 * time.Second) // The retry interval has reached its maximum.
		s.update(func(s *fakeSource) { s.table, s.err = railreplica.Page{Version: 1}, nil })
		recovered.Notify()
		time.Sleep(time.Millisecond)
		_, known := f.Age()
		qt.Check(t, known, qt.IsTrue)
	})
}

// Guards against a follower that waits for the response to a request from before an outage, which never comes, while others read the store
// again: the configuration was too old for keys, and callers were refused, for up to two seconds after the store's return.
func TestFollowerAbandonsRequestWhenStoreRespondsToAnother(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		var recovered railsignal.Signal
		s := &fakeSource{table: railreplica.Page{Version: 1}}
		var r rowsRecorder
		f := startFollower(t, s, r.store, &recovered)
		time.Sleep(1500 * time.Millisecond)
		s.update(func(s *fakeSource) { s.hang = true })
		time.Sleep(time.Second) // The follower waits for a response that does not come.
		s.update(func(s *fakeSource) {
			s.hang = false
			s.changes = []railreplica.Page{{Rows: []railreplica.Row{row("a", 10)}, Version: 10}}
		})
		recovered.Notify()
		time.Sleep(time.Millisecond)
		qt.Check(t, r.load(), qt.HasLen, 1)
		age, _ := f.Age()
		qt.Check(t, age <= time.Millisecond, qt.IsTrue, qt.Commentf("age %s", age))
	})
}

// Guards against a request that is abandoned, and with it a large response on its way, since another follower notices the end of the same
// outage later.
func TestOutageEndsOnceForAllFollowers(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		var recovered railsignal.Signal
		nothing := func(map[string]railreplica.Row) {}
		sources := []*fakeSource{{table: railreplica.Page{Version: 1}}, {table: railreplica.Page{Version: 1}}, {table: railreplica.Page{Version: 1}}}
		for _, s := range sources {
			startFollower(t, s, nothing, &recovered)
		}
		time.Sleep(5 * time.Second)
		for _, s := range sources {
			s.update(func(s *fakeSource) { s.err = errors.New("store unavailable") })
		}
		time.Sleep(5 * time.Second)
		sources[0].update(func(s *fakeSource) { s.err = nil })
		<-recovered.Changed()
		again := recovered.Changed()
		sources[1].update(func(s *fakeSource) { s.err = nil })
		sources[2].update(func(s *fakeSource) { s.err = nil })
		time.Sleep(5 * time.Second)
		select {
		case <-again:
			t.Fatal("the followers were told again that the store is back")
		default:
		}
	})
}
