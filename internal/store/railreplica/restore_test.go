package railreplica_test

import (
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
)

const (
	// copyAge is the age of the copy from which the tests restore a store, and outage the time for which it is away before that.
	copyAge = 9 * time.Second
	outage  = 2 * time.Second
	// pollTime is enough for a follower to read a change.
	pollTime = 1500 * time.Millisecond
)

// write writes a row, or removes it if its value is empty.
func (s *distantStore) write(t *testing.T, key, value string) {
	t.Helper()
	change := railtable.Remove("t", key)
	if value != "" {
		change = railtable.Put("t", key, []byte(value))
	}
	_, err := s.tables.Change(change)
	qt.Assert(t, err, qt.IsNil)
}

// replicate starts a follower of the table t and returns a function that returns its values by key.
func (s *distantStore) replicate(t *testing.T) func() map[string]string {
	t.Helper()
	start := time.Now()
	var r rowsRecorder
	f := &railreplica.Follower{
		Source: s, Table: "t", PollDelay: 200 * time.Millisecond, Timeout: time.Second, Now: func() time.Duration { return time.Since(start) },
		OnChange: r.store, Log: slog.New(slog.DiscardHandler),
	}
	go f.Run(t.Context())
	return func() map[string]string {
		values := map[string]string{}
		for key, row := range r.load() {
			values[key] = string(row.Value)
		}
		return values
	}
}

// restore makes the store unreachable for a while and brings it back from a copy.
func (s *distantStore) restore(age time.Duration) {
	s.apply(func(s *distantStore) { s.unreachable = true })
	time.Sleep(outage)
	s.tables.Restore(age)
	s.apply(func(s *distantStore) { s.unreachable = false })
}

// Guards against a replica that loses rows, or goes back to older ones, since the store was restored from an older copy and its writers have
// not written them again yet; and against one that keeps what is gone.
func TestReplicaOutlastsRestoreFromOlderCopy(t *testing.T) {
	type values = map[string]string
	for name, c := range map[string]struct {
		// before is written before the copy, lost after it and before the restore, and rewritten half a second after the store's return.
		before, lost, rewritten values
		// atReturn is what the replica holds shortly after the return, and later what it holds once writers have had their time.
		atReturn, later values
	}{
		"row that the copy lacks is written again":   {lost: values{"a": "1"}, rewritten: values{"a": "1"}, atReturn: values{"a": "1"}, later: values{"a": "1"}},
		"row that the copy lacks is gone":            {lost: values{"a": "1"}, atReturn: values{"a": "1"}, later: values{}},
		"row that the copy lacks comes back changed": {lost: values{"a": "1"}, rewritten: values{"a": "2"}, atReturn: values{"a": "2"}, later: values{"a": "2"}},
		"row was changed and is written again":       {before: values{"a": "1"}, lost: values{"a": "2"}, rewritten: values{"a": "2"}, atReturn: values{"a": "2"}, later: values{"a": "2"}},
		"row was changed and is not written again":   {before: values{"a": "1"}, lost: values{"a": "2"}, atReturn: values{"a": "2"}, later: values{"a": "2"}},
		"row was changed and goes back on purpose":   {before: values{"a": "1"}, lost: values{"a": "2"}, rewritten: values{"a": "1"}, atReturn: values{"a": "1"}, later: values{"a": "1"}},
		"row was removed":                            {before: values{"a": "1"}, lost: values{"a": ""}, atReturn: values{}, later: values{}},
		"row was removed and is written again":       {before: values{"a": "1"}, lost: values{"a": ""}, rewritten: values{"a": "1"}, atReturn: values{"a": "1"}, later: values{"a": "1"}},
		"row lapses after the return":                {before: values{"a": "1"}, rewritten: values{"a": ""}, atReturn: values{"a": "1"}, later: values{}},
		"row is new":                                 {rewritten: values{"a": "1"}, atReturn: values{"a": "1"}, later: values{"a": "1"}},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				s := &distantStore{}
				rows := s.replicate(t)
				for key, value := range c.before {
					s.write(t, key, value)
				}
				time.Sleep(copyAge)
				for key, value := range c.lost {
					s.write(t, key, value)
				}
				time.Sleep(copyAge / 2)
				s.restore(copyAge)
				time.Sleep(500 * time.Millisecond)
				for key, value := range c.rewritten {
					s.write(t, key, value)
				}
				time.Sleep(pollTime)
				qt.Check(t, rows(), qt.DeepEquals, c.atReturn, qt.Commentf("shortly after the return"))
				time.Sleep(2 * railreplica.ReturnGrace)
				qt.Check(t, rows(), qt.DeepEquals, c.later, qt.Commentf("after the grace"))
			})
		})
	}
}

// Guards against changes that are missed since the store gives out versions again that the replica has read before.
func TestReplicaSeesChangesWithVersionsThatAreGivenOutAgain(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		s := &distantStore{}
		rows := s.replicate(t)
		time.Sleep(copyAge)
		for range 5 {
			s.write(t, "lost", "1")
		}
		time.Sleep(pollTime)
		s.restore(copyAge / 2)
		for _, key := range []string{"a", "b", "c", "d", "e", "f", "g"} {
			s.write(t, key, "1")
			time.Sleep(pollTime)
			qt.Check(t, rows()[key], qt.Equals, "1", qt.Commentf("row %s", key))
		}
		s.write(t, "a", "")
		time.Sleep(pollTime)
		qt.Check(t, rows()["a"], qt.Equals, "")
	})
}

// Guards against a replica that reads its table again without pause, since the store does not have the version that it asks for.
func TestReplicaReadsTableOnceAfterRestore(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		s := &distantStore{}
		s.replicate(t)
		s.write(t, "a", "1")
		time.Sleep(copyAge)
		s.write(t, "a", "2")
		time.Sleep(pollTime)
		reads := s.tableReads()
		s.restore(copyAge / 2)
		time.Sleep(10 * pollTime)
		qt.Check(t, s.tableReads()-reads, qt.Equals, 1)
	})
}

// Guards against refusing nearly all requests after an outage, since the rows of writers that could not renew them have lapsed meanwhile.
func TestReplicaKeepsRowsThatLapsedDuringOutage(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		s := &distantStore{}
		rows := s.replicate(t)
		s.write(t, "back", "1")
		s.write(t, "gone", "1")
		time.Sleep(copyAge)
		s.apply(func(s *distantStore) { s.unreachable = true })
		time.Sleep(2 * outage)
		s.write(t, "back", "")
		s.write(t, "gone", "")
		s.apply(func(s *distantStore) { s.unreachable = false })
		time.Sleep(pollTime)
		qt.Check(t, rows(), qt.DeepEquals, map[string]string{"back": "1", "gone": "1"})
		s.write(t, "back", "1")
		time.Sleep(railreplica.ReturnGrace)
		qt.Check(t, rows(), qt.DeepEquals, map[string]string{"back": "1"})
	})
}

// Guards against an age of the replica that is too low: a response without rows that comes before the end of the long poll says nothing of
// the time after it.
func TestEarlyResponseWithoutRowsConfirmsNothingAhead(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		s := &fakeSource{table: railreplica.Page{Version: 1}}
		s.changes = []railreplica.Page{{Version: 1}}
		start := time.Now()
		f := &railreplica.Follower{
			Source: s, Table: "t", Wait: time.Second, Timeout: time.Second, Now: func() time.Duration { return time.Since(start) },
			OnChange: func(map[string]railreplica.Row) {}, Log: slog.New(slog.DiscardHandler),
		}
		qt.Assert(t, f.Refresh(t.Context()), qt.IsNil)
		s.update(func(s *fakeSource) { s.early = true })
		qt.Assert(t, f.Refresh(t.Context()), qt.IsNil)
		time.Sleep(400 * time.Millisecond)
		age, _ := f.Age()
		qt.Check(t, age, qt.Equals, 400*time.Millisecond)
	})
}
