package railgateway

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
)

// silenceWatch looks for an attempt that can take over from one whose endpoint is silent. The silent attempt stays open meanwhile: whichever
// goes on first is kept. A healthy endpoint may be silent for a while and go on. ctx, search and giveUp must be set before first use.
type silenceWatch struct {
	// ctx bounds the search and the attempt that takes over.
	ctx context.Context
	// patience is the time for which an endpoint may be silent; 0 means that nobody can take over, so that there is no search.
	patience time.Duration
	// search returns an attempt that goes on after the event with the given ID, or with a response of its own if it is empty.
	search func(ctx context.Context, lastEventID string) (*attempt, error)
	// giveUp ends the silent attempt.
	giveUp func()

	mu    sync.Mutex
	timer *time.Timer
	// waiting is set while the endpoint is expected to go on, and since is when that, or the last search, began.
	waiting     bool
	since       time.Time
	lastEventID string
	standby     *standby
}

// standby is a search for an attempt that can take over.
type standby struct {
	cancel context.CancelCauseFunc
	// ended is closed when the search has ended, and successor is the attempt that has taken over, or nil.
	ended     chan struct{}
	successor *attempt
}

// wait begins to wait for the next part of the endpoint's response.
func (w *silenceWatch) wait(lastEventID string) {
	if w.patience == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting, w.since, w.lastEventID = true, time.Now(), lastEventID
	if w.timer == nil {
		w.timer = time.AfterFunc(w.patience, w.startSearch)
		return
	}
	w.timer.Reset(w.patience)
}

// wentOn ends the wait since the endpoint has gone on. A search is canceled, unless an attempt has taken over already: that is returned then, and
// nothing more of the silent one must be used.
func (w *silenceWatch) wentOn() *attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopWaiting()
	s := w.standby
	if s == nil || s.successor != nil {
		return s.result()
	}
	w.standby = nil
	s.cancel(errNotNeeded)
	return nil
}

// failed ends the wait since the silent attempt has failed. It returns the attempt that takes over, or nil if there is none or no search.
func (w *silenceWatch) failed() *attempt {
	w.mu.Lock()
	w.stopWaiting()
	s := w.standby
	w.mu.Unlock()
	if s != nil {
		<-s.ended
	}
	return s.result()
}

func (s *standby) result() *attempt {
	if s == nil {
		return nil
	}
	return s.successor
}

func (w *silenceWatch) stopWaiting() {
	w.waiting = false
	if w.timer != nil {
		w.timer.Stop()
	}
}

// startSearch searches for an attempt that takes over, and closes one that is found but not needed any more. If there is none, it tries again
// later.
func (w *silenceWatch) startSearch() {
	w.mu.Lock()
	if !w.waiting || w.standby != nil || time.Since(w.since) < w.patience {
		w.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancelCause(w.ctx)
	s := &standby{cancel: cancel, ended: make(chan struct{})}
	w.standby = s
	lastEventID := w.lastEventID
	w.mu.Unlock()
	defer close(s.ended)
	found, err := w.search(ctx, lastEventID)
	if !w.finishSearch(s, found, err) && found != nil {
		found.close(railfleet.Answered)
	}
}

// finishSearch records the result of a search. It reports whether the attempt found takes over.
func (w *silenceWatch) finishSearch(s *standby, found *attempt, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.standby != s:
		return false
	case err == nil:
		s.successor = found
		w.giveUp()
		return true
	}
	s.cancel(nil)
	w.standby = nil
	if w.waiting {
		w.since = time.Now()
		w.timer.Reset(w.patience)
	}
	return false
}
