package railrows_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/core/railsignal"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/store/railrows"
)

// source answers reads as its fields say.
type source struct {
	mu      sync.Mutex
	whole   railrows.Page
	changes []railrows.Page
	err     error
	held    bool
	// gone makes the next call for changes find that the history is gone.
	gone bool
}

func (s *source) Table(context.Context, string) (railrows.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.whole, s.err
}

func (s *source) Changes(ctx context.Context, _ string, _ int64, wait time.Duration) (railrows.Page, error) {
	page, held, err := s.next()
	if err != nil || len(page.Rows) > 0 {
		return page, err
	}
	if held {
		<-ctx.Done()
		return railrows.Page{}, ctx.Err()
	}
	select {
	case <-time.After(wait):
		return railrows.Page{Version: 9}, nil
	case <-ctx.Done():
		return railrows.Page{}, ctx.Err()
	}
}

// next returns the changes that are due, or whether the call is held.
func (s *source) next() (page railrows.Page, held bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.err != nil:
		return page, false, s.err
	case s.gone:
		s.gone = false
		return page, false, railrows.ErrHistoryGone
	case len(s.changes) > 0:
		page, s.changes = s.changes[0], s.changes[1:]
	}
	return page, s.held, nil
}

// set changes what the source answers.
func (s *source) set(change func(*source)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// view is the copy as it was handed over last.
type view struct {
	mu   sync.Mutex
	rows map[string]railrows.Row
}

func (v *view) take(rows map[string]railrows.Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rows = rows
}

func (v *view) last() map[string]railrows.Row {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rows
}

func follow(t *testing.T, s *source, changed func(map[string]railrows.Row), answers *railsignal.Signal) *railrows.Follower {
	began := time.Now()
	f := &railrows.Follower{
		Source: s, Table: "t", Wait: time.Second, Timeout: time.Second, Now: func() time.Duration { return time.Since(began) },
		Recovered: answers, OnChange: changed, Log: slog.New(slog.DiscardHandler),
	}
	go f.Run(t.Context())
	return f
}

func row(key string, version int64) railrows.Row {
	return railrows.Row{Key: key, Value: []byte("v"), Version: version}
}

func TestACopyFollowsChangesAndRemovals(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		s := &source{whole: railrows.Page{Rows: []railrows.Row{row("a", 1), row("b", 2)}, Version: 2}}
		s.changes = []railrows.Page{{Rows: []railrows.Row{row("c", 3), {Key: "a", Version: 4, Removed: true}}, Version: 4}}
		var v view
		f := follow(t, s, v.take, nil)
		time.Sleep(10 * time.Millisecond)
		last := v.last()
		qt.Check(t, len(last), qt.Equals, 2)
		qt.Check(t, last["b"].Version, qt.Equals, int64(2))
		qt.Check(t, last["c"].Version, qt.Equals, int64(3))
		qt.Check(t, f.Version(), qt.Equals, int64(4))
	})
}

func TestATableIsReadWholeWhenItsHistoryIsGone(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		s := &source{whole: railrows.Page{Rows: []railrows.Row{row("a", 1)}, Version: 1}}
		var v view
		follow(t, s, v.take, nil)
		time.Sleep(1500 * time.Millisecond)
		s.set(func(s *source) { s.err = errors.New("away") })
		time.Sleep(time.Second)
		qt.Check(t, len(v.last()), qt.Equals, 1, qt.Commentf("the copy stays while the store does not answer"))
		s.set(func(s *source) { s.whole, s.err, s.gone = railrows.Page{Version: 20}, nil, true })
		time.Sleep(5 * time.Second)
		qt.Check(t, len(v.last()), qt.Equals, 0, qt.Commentf("rows that went with the history are gone"))
	})
}

// The age decides whether keys may be trusted, so it grows while the store is silent.
func TestTheAgeGrowsWhileTheStoreIsSilent(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		s := &source{whole: railrows.Page{Version: 1}}
		f := follow(t, s, func(map[string]railrows.Row) {}, nil)
		time.Sleep(10500 * time.Millisecond)
		age, known := f.Age()
		qt.Check(t, known, qt.IsTrue)
		qt.Check(t, age <= time.Second, qt.IsTrue, qt.Commentf("age %s", age))
		s.set(func(s *source) { s.held = true })
		time.Sleep(6 * time.Second)
		age, _ = f.Age()
		qt.Check(t, age >= 5*time.Second, qt.IsTrue, qt.Commentf("age %s", age))
	})
}

// After a loss of power of all VMs while the store was away the table of entries came up to a second after the configuration.
func TestATableIsTriedAgainAsSoonAsTheStoreAnswersAnother(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		var answers railsignal.Signal
		s := &source{err: errors.New("away")}
		f := follow(t, s, func(map[string]railrows.Row) {}, &answers)
		time.Sleep(20 * time.Second) // The pause between two tries is at its longest.
		s.set(func(s *source) { s.whole, s.err = railrows.Page{Version: 1}, nil })
		answers.Notify()
		time.Sleep(time.Millisecond)
		_, known := f.Age()
		qt.Check(t, known, qt.IsTrue)
	})
}
