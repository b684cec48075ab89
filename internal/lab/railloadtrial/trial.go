package railloadtrial

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/lab/railpercentile"
	"github.com/fulmarrail/fulmarrail/internal/standin/railbatch"
)

const (
	// maxElapsedShare is the largest share of the deadline that can have elapsed before the client sends its request.
	maxElapsedShare = 0.15
	// promptVariation is the largest deviation of a prompt's length from the mean, as a share of the mean.
	promptVariation = 0.5
)

// RequestKind describes one kind of request in the load.
type RequestKind struct {
	Name              string
	RequestsPerSecond float64
	// PromptTokens is a mean; OutputTokens is exact.
	PromptTokens, OutputTokens int
	// An answer is on time if its first token comes within FirstTokenTarget and no gap between tokens exceeds MaxTokenGap.
	FirstTokenTarget, MaxTokenGap, Deadline time.Duration
	// Value is the value of an answer on time, and LateValue that of a late one, in the same arbitrary unit.
	Value, LateValue float64
}

// EngineChange sets the number of available engines once After has elapsed since the start of the trial.
type EngineChange struct {
	After   time.Duration
	Engines int
}

// Trial is one run of a load under one policy. Its exported fields must be set before Run.
type Trial struct {
	Policy string
	Kinds  []RequestKind
	// Engines is the number of engines available at the start.
	Engines, Entries int
	Slots            int
	Timing           railbackend.Timing
	ChunkTokens      int
	// EngineChanges are sorted by After.
	EngineChanges []EngineChange
	Duration      time.Duration
	Seed          uint64

	mu              sync.Mutex
	result          Result
	firstTokenTimes []time.Duration
	policies        []policy
	engines         []*railbatch.Engine
}

// Result sums up the outcomes of all clients.
type Result struct {
	Policy   string `json:"policy"`
	Requests int    `json:"asked"`
	// OnTime, Late, Refused and Failed count clients, not attempts.
	OnTime  int `json:"onTime"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// ValueShare is the value of all answers as a share of what it would be if every client got its answer on time.
	ValueShare          float64 `json:"worth"`
	P50FirstTokenMillis float64 `json:"p50FirstTokenMillis"`
	P99FirstTokenMillis float64 `json:"p99FirstTokenMillis"`

	maxValue, value float64
}

// Run sends the load and returns the outcomes. It can be called once.
func (t *Trial) Run(ctx context.Context) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	for range t.maxEngines() {
		engine := &railbatch.Engine{Timing: t.Timing, Slots: t.Slots, ChunkTokens: t.ChunkTokens}
		t.engines = append(t.engines, engine)
		background.Go(func() { engine.Run(ctx) })
	}
	t.policies = t.newPolicies(ctx)
	t.setEngineCount(t.Engines)
	background.Go(func() { t.applyEngineChanges(ctx) })
	var callers sync.WaitGroup
	for i, kind := range t.Kinds {
		callers.Go(func() { t.sendRequests(ctx, kind, rand.New(rand.NewPCG(t.Seed, uint64(i))), &callers) })
	}
	callers.Wait()
	cancel()
	background.Wait()
	r := t.result
	r.Policy, r.ValueShare = t.Policy, r.value/r.maxValue
	r.P50FirstTokenMillis, r.P99FirstTokenMillis = railpercentile.Millis(t.firstTokenTimes, 50), railpercentile.Millis(t.firstTokenTimes, 99)
	return r
}

func (t *Trial) backend() railbackend.Backend {
	meanPromptTokens := 0
	for _, k := range t.Kinds {
		meanPromptTokens += k.PromptTokens / len(t.Kinds)
	}
	return railbackend.Backend{Name: service, Engine: &railbackend.Engine{
		Slots: t.Slots, Timing: t.Timing, MeanPromptTokens: meanPromptTokens, MeanOutputTokens: t.Kinds[0].OutputTokens,
	}}
}

func (t *Trial) newPolicies(ctx context.Context) []policy {
	if t.Policy == PolicySystem || t.Policy == PolicyIgnoreRetries {
		return newSystemPolicies(ctx, t, t.Policy == PolicyIgnoreRetries)
	}
	var policies []policy
	for range t.Entries {
		policies = append(policies, &baselinePolicy{leastInFlight: t.Policy == PolicyLeastInFlight})
	}
	return policies
}

func (t *Trial) maxEngines() int {
	count := t.Engines
	for _, c := range t.EngineChanges {
		count = max(count, c.Engines)
	}
	return count
}

// setEngineCount makes the first n engines available to all entries.
func (t *Trial) setEngineCount(n int) {
	indexes := make([]int, n)
	for i := range indexes {
		indexes[i] = i
	}
	for _, p := range t.policies {
		p.setEngines(indexes, t.Slots)
	}
}

func (t *Trial) applyEngineChanges(ctx context.Context) {
	start := time.Now()
	for _, c := range t.EngineChanges {
		if !railtimer.Sleep(ctx, c.After-time.Since(start)) {
			return
		}
		t.setEngineCount(c.Engines)
	}
}

// sendRequests sends requests of one kind at exponentially distributed intervals, and adds a goroutine to callers for each.
func (t *Trial) sendRequests(ctx context.Context, kind RequestKind, random *rand.Rand, callers *sync.WaitGroup) {
	start := time.Now()
	for time.Since(start) < t.Duration {
		c := &caller{
			trial: t, kind: kind, entry: random.IntN(t.Entries), jitter: random.Float64(),
			promptTokens: int(float64(kind.PromptTokens) * (1 + promptVariation*(2*random.Float64()-1))),
			timeout:      time.Duration((1 - maxElapsedShare*random.Float64()) * float64(kind.Deadline)),
		}
		callers.Go(func() { c.run(ctx) })
		railtimer.Sleep(ctx, time.Duration(random.ExpFloat64()/kind.RequestsPerSecond*float64(time.Second)))
	}
}

// record adds the outcome of one client to the result.
func (t *Trial) record(kind RequestKind, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &t.result
	r.Requests++
	r.maxValue += kind.Value
	switch {
	case o.refused:
		r.Refused++
	case !o.complete:
		r.Failed++
	case o.firstToken <= kind.FirstTokenTarget && o.maxTokenGap <= kind.MaxTokenGap:
		r.OnTime++
		r.value += kind.Value
	default:
		r.Late++
		r.value += kind.LateValue
	}
	if o.complete {
		t.firstTokenTimes = append(t.firstTokenTimes, o.firstToken)
	}
}
