package railadmitter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
)

const (
	// lookInterval is the time after which waiting requests are looked at again without any news.
	lookInterval = 25 * time.Millisecond
	rateWindow   = time.Second
)

var (
	// ErrBusy means that no endpoint can begin the answer in time.
	ErrBusy = errors.New("no endpoint can begin the answer in time")
	// ErrNoEndpoint means that no endpoint may take the request at all.
	ErrNoEndpoint = errors.New("no endpoint may take the request")
)

// RejectionError is the error of a request that gets no place, with what decided that when the request came.
type RejectionError struct {
	// Cause is ErrBusy or ErrNoEndpoint.
	Cause error
	// Eligible is the number of endpoints that could take the request at all, and Waiting that of the requests that go before it.
	Eligible, Ahead int
	// ExpectedWait is the wait behind those.
	ExpectedWait time.Duration
}

// Error returns the reason's text.
func (d *RejectionError) Error() string {
	return d.Cause.Error()
}

// Unwrap returns the reason.
func (d *RejectionError) Unwrap() error {
	return d.Cause
}

// Admitter grants the endpoints of one service; its fields are set before its first use.
type Admitter struct {
	Fleet *railfleet.Fleet

	mu      sync.Mutex
	waiting []*waiter
	grants  []time.Time
}

type waiter struct {
	need railfleet.Requirements
	rank int
	// latest is the last moment at which a grant is of use; need.Within counts from it.
	latest  time.Time
	granted chan *railfleet.Lease
}

// Acquire returns a place at an endpoint, waiting for it until latest at most; the errors mean that the request was not run, and
// are a Denial if the caller still waits.
func (a *Admitter) Acquire(ctx context.Context, need railfleet.Requirements, rank int, latest time.Time) (*railfleet.Lease, error) {
	a.mu.Lock()
	now := time.Now()
	if !a.others(rank) {
		if l, ok := a.reserve(need, latest, now); ok {
			a.note(now)
			a.mu.Unlock()
			return l, nil
		}
	}
	ahead := a.ahead(rank)
	denial := &RejectionError{Cause: ErrBusy, Eligible: a.Fleet.CountUsable(need), Ahead: ahead, ExpectedWait: a.wait(now, ahead)}
	nobody := denial.Eligible == 0 && !now.Before(latest)
	if nobody {
		denial.Cause = ErrNoEndpoint
	}
	if nobody || denial.ExpectedWait > latest.Sub(now) {
		a.mu.Unlock()
		return nil, denial
	}
	w := &waiter{need: need, rank: rank, latest: latest, granted: make(chan *railfleet.Lease, 1)}
	a.push(w)
	a.mu.Unlock()
	return a.await(ctx, w, denial)
}

// Wake grants places to waiting requests as far as there is room. One for which there is none holds up those behind it, so that
// small requests do not keep large ones out, unless no endpoint may take it at all.
func (a *Admitter) Wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	left := a.waiting[:0]
	for i, w := range a.waiting {
		l, ok := a.reserve(w.need, w.latest, now)
		if !ok {
			left = append(left, w)
			if a.Fleet.CountUsable(w.need) > 0 {
				left = append(left, a.waiting[i+1:]...)
				break
			}
			continue
		}
		a.note(now)
		w.granted <- l
	}
	clear(a.waiting[len(left):])
	a.waiting = left
}

// Waiting returns the number of waiting requests.
func (a *Admitter) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting)
}

// reserve asks for a place at which the answer begins in the time that is left of need.Within.
func (a *Admitter) reserve(need railfleet.Requirements, latest, now time.Time) (*railfleet.Lease, bool) {
	need.StartWithin += max(latest.Sub(now), 0)
	return a.Fleet.Reserve(need)
}

// await waits for a grant; denial is the error when none comes in time.
func (a *Admitter) await(ctx context.Context, w *waiter, denial *RejectionError) (*railfleet.Lease, error) {
	expired := time.NewTimer(time.Until(w.latest))
	defer expired.Stop()
	look := time.NewTicker(lookInterval)
	defer look.Stop()
	for {
		select {
		case l := <-w.granted:
			return l, nil
		case <-look.C:
			a.Wake()
		case <-expired.C:
			return a.leave(w, denial)
		case <-ctx.Done():
			l, err := a.leave(w, ctx.Err())
			if l != nil {
				l.Done(railfleet.Answered)
			}
			return nil, errors.CombineErrors(ctx.Err(), err)
		}
	}
}

// leave takes a waiter out; a place that was granted meanwhile is returned.
func (a *Admitter) leave(w *waiter, err error) (*railfleet.Lease, error) {
	a.mu.Lock()
	a.waiting = slices.DeleteFunc(a.waiting, func(other *waiter) bool { return other == w })
	a.mu.Unlock()
	select {
	case l := <-w.granted:
		return l, nil
	default:
		return nil, err
	}
}

// push adds a waiter behind those of its rank.
func (a *Admitter) push(w *waiter) {
	at := len(a.waiting)
	for at > 0 && a.waiting[at-1].rank > w.rank {
		at--
	}
	a.waiting = slices.Insert(a.waiting, at, w)
}

// others reports whether requests wait that go before a new one of the rank.
func (a *Admitter) others(rank int) bool {
	return len(a.waiting) > 0 && a.waiting[0].rank <= rank
}

// ahead returns the number of waiting requests that go before a new one of the rank.
func (a *Admitter) ahead(rank int) int {
	n := 0
	for _, w := range a.waiting {
		if w.rank <= rank {
			n++
		}
	}
	return n
}

// wait predicts the wait behind a number of requests that go first, from the places granted lately.
func (a *Admitter) wait(now time.Time, ahead int) time.Duration {
	a.forget(now)
	if ahead == 0 || len(a.grants) == 0 {
		return 0
	}
	return time.Duration(ahead) * rateWindow / time.Duration(len(a.grants))
}

func (a *Admitter) note(now time.Time) {
	a.grants = append(a.grants, now)
	a.forget(now)
}

func (a *Admitter) forget(now time.Time) {
	expired := 0
	for expired < len(a.grants) && now.Sub(a.grants[expired]) > rateWindow {
		expired++
	}
	a.grants = a.grants[expired:]
}
