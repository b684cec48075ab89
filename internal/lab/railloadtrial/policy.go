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
	PolicySystem = "system"
	// Alike is the system's own policy where callers who come back are served like new ones.
	PolicyIgnoreRetries = "alike"
	// RoundRobin takes the engines in turn and admits all.
	PolicyRoundRobin = "roundRobin"
	// LeastInFlight takes the engine with the fewest of the entry's own requests and admits all.
	PolicyLeastInFlight = "leastInFlight"

	// latency is the time that a datagram takes from one entry to another.
	digestDelay = 2 * time.Millisecond
	service     = "engines"
	zone        = "a"
)

// ask is one try of a caller at an entry.
type request struct {
	kind       RequestKind
	prompt     int
	receivedAt time.Time
	// wait is the time for which the caller is ready to wait from then on.
	timeout time.Duration
}

// place is an engine that a request may go to.
type placement struct {
	engine       int
	onFirstToken func()
	release      func()
}

// policy chooses for one entry; the error means that the request was refused.
type policy interface {
	acquire(ctx context.Context, a request) (placement, error)
	// setEngines takes over which engines there are.
	setEngines(indexes []int, slots int)
}

// own is the system's policy at one entry.
type systemPolicy struct {
	fleet         *railfleet.Fleet
	admitter      *railadmitter.Admitter
	backend       railbackend.Backend
	retryDetector railpatience.RetryDetector
	ignoreRetries bool
	// engines holds the index of each engine that there ever is, by its id; it does not change.
	engineIndexes map[string]int
}

// newOwn returns the entries of a deployment, which tell each other what they have in flight until ctx is done.
func newSystemPolicies(ctx context.Context, t *Trial, alike bool) []policy {
	timer := &railtimer.Service{}
	go timer.Run(ctx)
	engines := map[string]int{}
	for i := range t.maxEngines() {
		engines[engineID(i)] = i
	}
	var policies []*systemPolicy
	for range t.Entries {
		policies = append(policies, &systemPolicy{backend: t.backend(), ignoreRetries: alike, engineIndexes: engines})
	}
	for i, policy := range policies {
		policy.fleet = &railfleet.Fleet{
			Zone: zone, Region: zone, Share: func(_ string, total int) int { return total / t.Entries }, Log: slog.New(slog.DiscardHandler),
		}
		policy.admitter = &railadmitter.Admitter{Fleet: policy.fleet}
		policy.fleet.OnChange = policy.admitter.Wake
		broadcaster := &raildigest.Broadcaster{Name: fmt.Sprint("entry-", i), Source: policy.fleet, Timer: timer, Send: policy.digestSender(policies)}
		go broadcaster.Run(ctx)
	}
	result := make([]policy, len(policies))
	for i, policy := range policies {
		result[i] = policy
	}
	return result
}

// send returns the function that sends what is in flight here to the other entries.
func (o *systemPolicy) digestSender(policies []*systemPolicy) func(*railproto.LoadDigest) {
	return func(digest *railproto.LoadDigest) {
		time.AfterFunc(digestDelay, func() {
			for _, peer := range policies {
				if peer != o {
					peer.fleet.MergeDigest(digest)
				}
			}
		})
	}
}

func engineID(index int) string {
	return fmt.Sprint("engine-", index)
}

// setEngines takes over which engines there are.
func (o *systemPolicy) setEngines(indexes []int, slots int) {
	var instances []railinstance.Instance
	for _, i := range indexes {
		id := engineID(i)
		instances = append(instances, railinstance.Instance{
			ID: id, Address: id, Service: service, Zone: zone, Region: zone, Slots: slots, WeightsVersion: 1,
		})
	}
	o.fleet.SetInstances(instances)
}

func (o *systemPolicy) acquire(ctx context.Context, req request) (placement, error) {
	try := railterms.FirstTry
	if o.retryDetector.Observe(req.kind.Name, "", req.timeout) && !o.ignoreRetries {
		try = railterms.ClientRetry
	}
	terms := railterms.Compute(try, req.kind.FirstTokenTarget, req.receivedAt, time.Now())
	requirements := railfleet.Requirements{
		Backend: o.backend, PromptTokens: req.prompt, AnswerTokens: req.kind.AnswerTokens, MaxEventGap: req.kind.MaxTokenGap, StartWithin: terms.StartWithin,
		RegionAllowed: func(string) bool { return true }, ZoneOut: func(string) bool { return false },
	}
	lease, err := o.admitter.Acquire(ctx, requirements, 0, terms.GrantBy)
	if err != nil {
		return placement{}, err
	}
	return placement{
		engine: o.engineIndexes[lease.Instance.ID], onFirstToken: lease.Started, release: func() { lease.Done(railfleet.Answered) },
	}, nil
}

// simple is a baseline at one entry.
type baselinePolicy struct {
	leastInFlight bool

	mu       sync.Mutex
	engines  []int
	inFlight map[int]int
	next     int
}

func (s *baselinePolicy) setEngines(indexes []int, _ int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines = slices.Clone(indexes)
	if s.inFlight == nil {
		s.inFlight = map[int]int{}
	}
}

func (s *baselinePolicy) acquire(context.Context, request) (placement, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	best := s.engines[s.next%len(s.engines)]
	for i := range s.engines {
		if other := s.engines[(s.next+i)%len(s.engines)]; s.leastInFlight && s.inFlight[other] < s.inFlight[best] {
			best = other
		}
	}
	s.inFlight[best]++
	return placement{engine: best, onFirstToken: func() {}, release: func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inFlight[best]--
	}}, nil
}
