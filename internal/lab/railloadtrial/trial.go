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
	// usedUp is the most that a caller has used up of its time before it sends.
	maxElapsedShare = 0.15
	// promptSpread is the share by which a prompt may be longer or shorter than usual.
	promptVariation = 0.5
)

// Kind is a kind of request.
type RequestKind struct {
	Name string
	// Rate is the number of requests a second.
	RequestsPerSecond float64
	// Prompt and Answer are numbers of tokens, the first of which is a mean.
	PromptTokens, AnswerTokens int
	// Target is the time to the first token and Gap the longest pause of an answer on time.
	FirstTokenTarget, MaxTokenGap, Deadline time.Duration
	// Worth is that of an answer on time, and Late that of a later one.
	Value, LateValue float64
}

// Change sets the number of engines that serve from a time on.
type EngineChange struct {
	After   time.Duration
	Engines int
}

// Trial is one load; its fields are set before Run.
type Trial struct {
	Policy string
	Kinds  []RequestKind
	// Engines is the number of engines at the beginning.
	Engines, Entries int
	Slots            int
	Timing           railbackend.Timing
	ChunkTokens      int
	// Changes are in the order of their times.
	EngineChanges []EngineChange
	Duration      time.Duration
	Seed          uint64

	mu              sync.Mutex
	result          Result
	firstTokenTimes []time.Duration
	policies        []policy
	engines         []*railbatch.Engine
}

// Result is what callers got.
type Result struct {
	Policy   string `json:"policy"`
	Requests int    `json:"asked"`
	// OnTime, Late, Refused and Failed count callers, not tries.
	OnTime  int `json:"onTime"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Worth is the share of the worth that answers on time to all callers would have.
	ValueShare          float64 `json:"worth"`
	P50FirstTokenMillis float64 `json:"p50FirstTokenMillis"`
	P99FirstTokenMillis float64 `json:"p99FirstTokenMillis"`

	maxValue, value float64
}

// Run sends the load and returns what callers got.
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
	meanPrompt := 0
	for _, k := range t.Kinds {
		meanPrompt += k.PromptTokens / len(t.Kinds)
	}
	return railbackend.Backend{Name: service, Engine: &railbackend.Engine{
		Slots: t.Slots, Timing: t.Timing, MeanPromptTokens: meanPrompt, MeanOutputTokens: t.Kinds[0].AnswerTokens,
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

// serve tells the entries that the first n engines serve.
func (t *Trial) setEngineCount(n int) {
	indexes := make([]int, n)
	for i := range indexes {
		indexes[i] = i
	}
	for _, e := range t.policies {
		e.setEngines(indexes, t.Slots)
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

// send sends the requests of a kind.
func (t *Trial) sendRequests(ctx context.Context, kind RequestKind, random *rand.Rand, callers *sync.WaitGroup) {
	start := time.Now()
	for time.Since(start) < t.Duration {
		c := &caller{
			trial: t, kind: kind, entry: random.IntN(t.Entries), jitter: random.Float64(),
			prompt:  int(float64(kind.PromptTokens) * (1 + promptVariation*(2*random.Float64()-1))),
			timeout: time.Duration((1 - maxElapsedShare*random.Float64()) * float64(kind.Deadline)),
		}
		callers.Go(func() { c.run(ctx) })
		railtimer.Sleep(ctx, time.Duration(random.ExpFloat64()/kind.RequestsPerSecond*float64(time.Second)))
	}
}

// note counts what a caller got.
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
