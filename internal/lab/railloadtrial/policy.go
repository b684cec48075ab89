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
	"github.com/fulmarrail/fulmarrail/internal/request/railretrydetector"
	"github.com/fulmarrail/fulmarrail/internal/routing/railadmitter"
	"github.com/fulmarrail/fulmarrail/internal/routing/raildeadline"
	"github.com/fulmarrail/fulmarrail/internal/wire/railloadbroadcast"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// PolicySystem is the system's own routing and admission.
	PolicySystem = "system"
	// PolicyIgnoreRetries is the system's own policy, except that it treats client retries like first attempts.
	PolicyIgnoreRetries = "alike"
	// PolicyRoundRobin selects engines in turn and admits every request.
	PolicyRoundRobin = "roundRobin"
	// PolicyLeastInFlight selects the engine with the fewest requests in flight from the same entry, and admits every request.
	PolicyLeastInFlight = "leastInFlight"

	// digestDelay is the network delay of a load digest from one entry to another.
	digestDelay = 2 * time.Millisecond
	service     = "engines"
	zone        = "a"
)

// request is one attempt of a client at an entry.
type request struct {
	kind         RequestKind
	promptTokens int
	receivedAt   time.Time
	// timeout is the client's remaining timeout at receivedAt.
	timeout time.Duration
}

// placement is the engine that a request was admitted to.
type placement struct {
	// engine is an index into Trial.engines.
	engine       int
	onFirstToken func()
	release      func()
}

// policy selects engines for the requests of one entry.
type policy interface {
	// acquire returns the engine for a request, or an error if the request is rejected.
	acquire(ctx context.Context, req request) (placement, error)
	// setEngines replaces the set of available engines. Each engine has the given number of slots.
	setEngines(indexes []int, slots int)
}

// systemPolicy is the system's routing and admission at one entry.
type systemPolicy struct {
	fleet         *railfleet.Fleet
	admitter      *railadmitter.Admitter
	backend       railbackend.Backend
	retryDetector railretrydetector.RetryDetector
	ignoreRetries bool
	// engineIndexes maps the ID of every engine of the trial, available or not, to its index. It is read-only.
	engineIndexes map[string]int
}

// newSystemPolicies returns one policy per entry. The entries exchange load digests of their requests in flight until ctx is done.
func newSystemPolicies(ctx context.Context, t *Trial, ignoreRetries bool) []policy {
	timer := &railtimer.Service{}
	go timer.Run(ctx)
	engineIndexes := map[string]int{}
	for i := range t.maxEngines() {
		engineIndexes[engineID(i)] = i
	}
	var policies []*systemPolicy
	for range t.Entries {
		policies = append(policies, &systemPolicy{backend: t.backend(), ignoreRetries: ignoreRetries, engineIndexes: engineIndexes})
	}
	for i, p := range policies {
		p.fleet = &railfleet.Fleet{
			Zone: zone, Region: zone, Share: func(_ string, total int) int { return total / t.Entries }, Log: slog.New(slog.DiscardHandler),
		}
		p.admitter = &railadmitter.Admitter{Fleet: p.fleet}
		p.fleet.OnChange = p.admitter.Wake
		broadcaster := &railloadbroadcast.Broadcaster{Name: fmt.Sprint("entry-", i), Source: p.fleet, Timer: timer, Send: p.digestSender(policies)}
		go broadcaster.Run(ctx)
	}
	result := make([]policy, len(policies))
	for i, p := range policies {
		result[i] = p
	}
	return result
}

// digestSender returns a function that sends a load digest to all other entries.
func (p *systemPolicy) digestSender(policies []*systemPolicy) func(*railproto.LoadDigest) {
	return func(digest *railproto.LoadDigest) {
		time.AfterFunc(digestDelay, func() {
			for _, peer := range policies {
				if peer != p {
					peer.fleet.MergeDigest(digest)
				}
			}
		})
	}
}

func engineID(index int) string {
	return fmt.Sprint("engine-", index)
}

func (p *systemPolicy) setEngines(indexes []int, slots int) {
	var instances []railinstance.Instance
	for _, i := range indexes {
		id := engineID(i)
		instances = append(instances, railinstance.Instance{
			ID: id, Address: id, Service: service, Zone: zone, Region: zone, Slots: slots, WeightsVersion: 1,
		})
	}
	p.fleet.SetInstances(instances)
}

func (p *systemPolicy) acquire(ctx context.Context, req request) (placement, error) {
	attempt := raildeadline.FirstTry
	if p.retryDetector.Observe(req.kind.Name, "", req.timeout) && !p.ignoreRetries {
		attempt = raildeadline.ClientRetry
	}
	deadlines := raildeadline.Compute(attempt, req.kind.FirstTokenTarget, req.receivedAt, time.Now())
	requirements := railfleet.Requirements{
		Backend: p.backend, PromptTokens: req.promptTokens, OutputTokens: req.kind.OutputTokens, MaxEventGap: req.kind.MaxTokenGap, StartWithin: deadlines.StartWithin,
		RegionAllowed: func(string) bool { return true }, ZoneOut: func(string) bool { return false },
	}
	lease, err := p.admitter.Acquire(ctx, requirements, 0, "", deadlines.GrantBy)
	if err != nil {
		return placement{}, err
	}
	return placement{
		engine: p.engineIndexes[lease.Instance.ID], onFirstToken: lease.Started, release: func() { lease.Done(railfleet.Answered) },
	}, nil
}

// baselinePolicy is round robin or least in flight at one entry, without admission control.
type baselinePolicy struct {
	leastInFlight bool

	mu       sync.Mutex
	engines  []int
	inFlight map[int]int
	next     int
}

func (p *baselinePolicy) setEngines(indexes []int, _ int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines = slices.Clone(indexes)
	if p.inFlight == nil {
		p.inFlight = map[int]int{}
	}
}

func (p *baselinePolicy) acquire(context.Context, request) (placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	best := p.engines[p.next%len(p.engines)]
	for i := range p.engines {
		if candidate := p.engines[(p.next+i)%len(p.engines)]; p.leastInFlight && p.inFlight[candidate] < p.inFlight[best] {
			best = candidate
		}
	}
	p.inFlight[best]++
	return placement{engine: best, onFirstToken: func() {}, release: func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.inFlight[best]--
	}}, nil
}
