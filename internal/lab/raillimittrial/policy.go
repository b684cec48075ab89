package raillimittrial

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railentries"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/routing/railadmitter"
	"github.com/fulmarrail/fulmarrail/internal/routing/raildeadline"
)

const (
	// PolicySystem is the system's own admission.
	PolicySystem = "system"
	// PolicyNoLimits is the system's own admission, except that it ignores the limits that endpoints name.
	PolicyNoLimits = "noLimits"
	// PolicyEqualParts gives each gateway an equal part of the requests that a limit allows within limitWindow. The remainder goes to the
	// gateways that rank first for the endpoint.
	PolicyEqualParts = "equalParts"

	// partPollInterval is the interval at which requests that wait under PolicyEqualParts are retried.
	partPollInterval = 5 * time.Millisecond
)

var errNoPart = errors.New("the gateway's parts are used")

// placement is the endpoint that a request was admitted to.
type placement struct {
	// engine is an index into Trial.engines.
	engine int
	// onHead must be called when the answer starts, with the limit that it names or 0.
	onHead  func(limit float64)
	release func()
}

// policy selects endpoints for the requests of one gateway.
type policy interface {
	// acquire returns the endpoint for a request of a customer, or an error if the request is rejected.
	acquire(ctx context.Context, customer string) (placement, error)
}

// systemPolicy is the system's routing and admission at one gateway.
type systemPolicy struct {
	fleet    *railfleet.Fleet
	admitter *railadmitter.Admitter
	backend  railbackend.Backend
	// engineIndexes maps the ID of every endpoint to its index. It is read-only.
	engineIndexes map[string]int
	ignoreLimits  bool
}

func (p *systemPolicy) acquire(ctx context.Context, customer string) (placement, error) {
	now := time.Now()
	deadlines := raildeadline.Compute(raildeadline.FirstTry, firstTokenTarget, now, now)
	requirements := railfleet.Requirements{
		Backend: p.backend, PromptTokens: promptTokens, OutputTokens: outputTokens, MaxEventGap: maxTokenGap, StartWithin: deadlines.StartWithin,
		RegionAllowed: func(string) bool { return true }, ZoneOut: func(string) bool { return false },
	}
	lease, err := p.admitter.Acquire(ctx, requirements, 0, customer, deadlines.GrantBy)
	if err != nil {
		return placement{}, err
	}
	return placement{
		engine: p.engineIndexes[lease.Instance.ID],
		onHead: func(limit float64) {
			switch {
			case p.ignoreLimits:
			case limit > 0:
				lease.RecordLimit(limit)
			default:
				lease.RecordNoLimit()
			}
			lease.Started()
		},
		release: func() { lease.Done(railfleet.Answered) },
	}, nil
}

// equalParts selects the endpoint with the fewest requests in flight from this gateway among those where its part is not used up.
type equalParts struct {
	entries *railentries.Entries

	mu       sync.Mutex
	limits   []float64
	sent     [][]time.Time
	inFlight []int
}

func newEqualParts(entries *railentries.Entries, engines int) *equalParts {
	return &equalParts{entries: entries, limits: make([]float64, engines), sent: make([][]time.Time, engines), inFlight: make([]int, engines)}
}

func (p *equalParts) acquire(ctx context.Context, _ string) (placement, error) {
	now := time.Now()
	grantBy := raildeadline.Compute(raildeadline.FirstTry, firstTokenTarget, now, now).GrantBy
	for {
		if engine, ok := p.reserve(); ok {
			return p.placement(engine), nil
		}
		if !time.Now().Before(grantBy) {
			return placement{}, errNoPart
		}
		if !railtimer.Sleep(ctx, partPollInterval) {
			return placement{}, ctx.Err()
		}
	}
}

func (p *equalParts) reserve() (engine int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, best := time.Now(), -1
	first := rand.IntN(len(p.limits))
	for i := range p.limits {
		candidate := (first + i) % len(p.limits)
		if p.withinPart(candidate, now) && (best < 0 || p.inFlight[candidate] < p.inFlight[best]) {
			best = candidate
		}
	}
	if best < 0 {
		return 0, false
	}
	p.sent[best] = append(p.sent[best], now)
	p.inFlight[best]++
	return best, true
}

func (p *equalParts) withinPart(engine int, now time.Time) bool {
	for len(p.sent[engine]) > 0 && now.Sub(p.sent[engine][0]) >= limitWindow {
		p.sent[engine] = p.sent[engine][1:]
	}
	if p.inFlight[engine] >= slots {
		return false
	}
	limit := p.limits[engine]
	return limit == 0 || len(p.sent[engine]) < p.entries.Share(engineID(engine), int(limit*limitWindow.Seconds()))
}

func (p *equalParts) placement(engine int) placement {
	return placement{
		engine: engine,
		onHead: func(limit float64) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.limits[engine] = limit
		},
		release: func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.inFlight[engine]--
		},
	}
}
