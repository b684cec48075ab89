package railloadtrial

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/request/railpatience"
	"github.com/fulmarrail/fulmarrail/internal/routing/railadmitter"
	"github.com/fulmarrail/fulmarrail/internal/routing/railterms"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildigest"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// System is the system's own policy.
	System = "system"
	// Alike is the system's own policy where callers who come back are served like new ones.
	Alike = "alike"
	// RoundRobin takes the engines in turn and admits all.
	RoundRobin = "roundRobin"
	// LeastInFlight takes the engine with the fewest of the entry's own requests and admits all.
	LeastInFlight = "leastInFlight"

	// latency is the time that a datagram takes from one entry to another.
	latency = 2 * time.Millisecond
	service = "engines"
	zone    = "a"
)

// ask is one try of a caller at an entry.
type ask struct {
	kind   Kind
	prompt int
	came   time.Time
	// wait is the time for which the caller is ready to wait from then on.
	wait time.Duration
}

// place is an engine that a request may go to.
type place struct {
	engine int
	began  func()
	done   func()
}

// policy chooses for one entry; the error means that the request was refused.
type policy interface {
	acquire(ctx context.Context, a ask) (place, error)
	// setEngines takes over which engines there are.
	setEngines(indexes []int, slots int)
}

// own is the system's policy at one entry.
type own struct {
	fleet    *railfleet.Fleet
	admitter *railadmitter.Admitter
	backend  railbackend.Backend
	patience railpatience.RetryDetector
	alike    bool
	// engines holds the index of each engine that there ever is, by its id; it does not change.
	engines map[string]int
}

// newOwn returns the entries of a deployment, which tell each other what they have in flight until ctx is done.
func newOwn(ctx context.Context, t *Trial, alike bool) []policy {
	timer := &railtimer.Service{}
	go timer.Run(ctx)
	engines := map[string]int{}
	for i := range t.most() {
		engines[engineID(i)] = i
	}
	var entries []*own
	for range t.Entries {
		entries = append(entries, &own{backend: t.backend(), alike: alike, engines: engines})
	}
	for i, e := range entries {
		e.fleet = &railfleet.Fleet{
			Zone: zone, Region: zone, Share: func(_ string, total int) int { return total / t.Entries }, Log: slog.New(slog.DiscardHandler),
		}
		e.admitter = &railadmitter.Admitter{Fleet: e.fleet}
		e.fleet.OnChange = e.admitter.Wake
		teller := &raildigest.Broadcaster{Name: fmt.Sprint("entry-", i), Source: e.fleet, Timer: timer, Send: e.send(entries)}
		go teller.Run(ctx)
	}
	list := make([]policy, len(entries))
	for i, e := range entries {
		list[i] = e
	}
	return list
}

// send returns the function that sends what is in flight here to the other entries.
func (o *own) send(entries []*own) func(*railproto.LoadDigest) {
	return func(digest *railproto.LoadDigest) {
		time.AfterFunc(latency, func() {
			for _, other := range entries {
				if other != o {
					other.fleet.MergeDigest(digest)
				}
			}
		})
	}
}

func engineID(index int) string {
	return fmt.Sprint("engine-", index)
}

// setEngines takes over which engines there are.
func (o *own) setEngines(indexes []int, slots int) {
	var list []railinstance.Instance
	for _, i := range indexes {
		id := engineID(i)
		list = append(list, railinstance.Instance{
			ID: id, Address: id, Service: service, Zone: zone, Region: zone, Slots: slots, WeightsVersion: 1,
		})
	}
	o.fleet.SetInstances(list)
}

func (o *own) acquire(ctx context.Context, a ask) (place, error) {
	try := railterms.FirstTry
	if o.patience.Observe(a.kind.Name, "", a.wait) && !o.alike {
		try = railterms.ClientRetry
	}
	terms := railterms.Compute(try, a.kind.Target, a.came, time.Now())
	need := railfleet.Requirements{
		Backend: o.backend, PromptTokens: a.prompt, AnswerTokens: a.kind.Answer, MaxEventGap: a.kind.Gap, StartWithin: terms.StartWithin,
		RegionAllowed: func(string) bool { return true }, ZoneOut: func(string) bool { return false },
	}
	lease, err := o.admitter.Acquire(ctx, need, 0, terms.GrantBy)
	if err != nil {
		return place{}, err
	}
	return place{
		engine: o.engines[lease.Instance.ID], began: lease.Started, done: func() { lease.Done(railfleet.Answered) },
	}, nil
}

// simple is a baseline at one entry.
type simple struct {
	least bool

	mu       sync.Mutex
	engines  []int
	inFlight map[int]int
	turn     int
}

func (s *simple) setEngines(indexes []int, _ int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines = slices.Clone(indexes)
	if s.inFlight == nil {
		s.inFlight = map[int]int{}
	}
}

func (s *simple) acquire(context.Context, ask) (place, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn++
	chosen := s.engines[s.turn%len(s.engines)]
	for i := range s.engines {
		if other := s.engines[(s.turn+i)%len(s.engines)]; s.least && s.inFlight[other] < s.inFlight[chosen] {
			chosen = other
		}
	}
	s.inFlight[chosen]++
	return place{engine: chosen, began: func() {}, done: func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inFlight[chosen]--
	}}, nil
}
