package railreplica_test

import (
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
)

const (
	// noticeTime is the longest time after which a follower notices that the store is back.
	noticeTime = time.Second
	// readTime is enough for a read of a store that responds at once.
	readTime = 10 * time.Millisecond
)

// replicateEvery is like replicate, with a delay between two requests.
func (s *distantStore) replicateEvery(t *testing.T, pollDelay time.Duration) func() map[string]railreplica.Row {
	t.Helper()
	start := time.Now()
	var r rowsRecorder
	f := &railreplica.Follower{
		Source: s, Table: "t", PollDelay: pollDelay, Timeout: time.Second, Now: func() time.Duration { return time.Since(start) },
		OnChange: r.store, Log: slog.New(slog.DiscardHandler),
	}
	go f.Run(t.Context())
	return r.load
}

// Guards against sending to an endpoint that has left, since the replica takes the delay between two of its own requests for an outage.
func TestReplicaDropsRemovedRowOfReachableStore(t *testing.T) {
	for _, pollDelay := range []time.Duration{200 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		t.Run(pollDelay.String(), func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				s := &distantStore{}
				rows := s.replicateEvery(t, pollDelay)
				for range 10 {
					s.write(t, "leaving", "1")
					time.Sleep(2 * pollDelay)
					s.write(t, "leaving", "")
					time.Sleep(pollDelay + pollDelay/5 + readTime)
					qt.Check(t, rows(), qt.HasLen, 0)
				}
			})
		})
	}
}

// Guards against sending to an endpoint that has left for longer than the grace after an outage, since the replica drops the row only with its
// next request after that.
func TestReplicaDropsLapsedRowWhenGraceEnds(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		s := &distantStore{}
		rows := s.replicateEvery(t, 800*time.Millisecond)
		for range 10 {
			s.write(t, "gone", "1")
			time.Sleep(2 * time.Second)
			s.apply(func(s *distantStore) { s.unreachable = true })
			time.Sleep(2 * outage)
			s.write(t, "gone", "")
			s.apply(func(s *distantStore) { s.unreachable = false })
			time.Sleep(noticeTime)
			qt.Check(t, rows(), qt.HasLen, 1)
			time.Sleep(railreplica.ReturnGrace + readTime)
			qt.Check(t, rows(), qt.HasLen, 0)
		}
	})
}

// Guards against refusing nearly all requests after two outages shortly after each other: the rows that have lapsed in the first one can't be
// written again in the second one.
func TestReplicaKeepsLapsedRowThroughNextOutage(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		s := &distantStore{}
		rows := s.replicateEvery(t, 800*time.Millisecond)
		s.write(t, "back", "1")
		time.Sleep(2 * time.Second)
		for i := range 2 {
			s.apply(func(s *distantStore) { s.unreachable = true })
			time.Sleep(2 * outage)
			if i == 0 {
				s.write(t, "back", "")
			}
			s.apply(func(s *distantStore) { s.unreachable = false })
			time.Sleep(noticeTime)
			qt.Check(t, rows(), qt.HasLen, 1)
		}
		time.Sleep(railreplica.ReturnGrace + readTime)
		qt.Check(t, rows(), qt.HasLen, 0)
	})
}

// Guards against accepting a customer's key that was revoked shortly before an outage: a copy with older rows than are known does not show that
// nothing newer was written.
func TestCopyWithOlderStateConfirmsNothing(t *testing.T) {
	for name, c := range map[string]struct{ writtenAgain bool }{
		"state is written again":     {writtenAgain: true},
		"state is not written again": {},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				s := &distantStore{}
				start := time.Now()
				f := &railreplica.Follower{
					Source: s, Table: "t", Timeout: time.Second, Now: func() time.Duration { return time.Since(start) },
					OnChange: func(map[string]railreplica.Row) {}, Log: slog.New(slog.DiscardHandler),
				}
				s.write(t, "config", "1")
				time.Sleep(copyAge)
				qt.Assert(t, f.Refresh(t.Context()), qt.IsNil)
				s.write(t, "config", "2")
				qt.Assert(t, f.Refresh(t.Context()), qt.IsNil)
				s.restore(copyAge / 2)
				before, _ := f.Age()
				qt.Assert(t, f.Refresh(t.Context()), qt.IsNil)
				age, _ := f.Age()
				qt.Check(t, age, qt.Equals, before)
				if c.writtenAgain {
					s.write(t, "config", "3")
					qt.Assert(t, f.Refresh(t.Context()), qt.IsNil)
					age, _ = f.Age()
					qt.Check(t, age, qt.Equals, time.Duration(0))
				}
				time.Sleep(railreplica.ReturnGrace)
				qt.Assert(t, f.Refresh(t.Context()), qt.IsNil)
				age, _ = f.Age()
				qt.Check(t, age, qt.Equals, time.Duration(0))
			})
		})
	}
}
