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
	usedUp = 0.15
	// promptSpread is the share by which a prompt may be longer or shorter than usual.
	promptSpread = 0.5
)

// Kind is a kind of request.
type Kind struct {
	Name string
	// Rate is the number of requests a second.
	Rate float64
	// Prompt and Answer are numbers of tokens, the first of which is a mean.
	Prompt, Answer int
	// Target is the time to the first token and Gap the longest pause of an answer on time.
	Target, Gap, Deadline time.Duration
	// Worth is that of an answer on time, and Late that of a later one.
	Worth, Late float64
}

// Change sets the number of engines that serve from a time on.
type Change struct {
	After   time.Duration
	Engines int
}

// Trial is one load; its fields are set before Run.
type Trial struct {
	Policy string
	Kinds  []Kind
	// Engines is the number of engines at the beginning.
	Engines, Entries int
	Slots            int
	Timing           railbackend.Timing
	Chunk            int
	// Changes are in the order of their times.
	Changes []Change
	Length  time.Duration
	Seed    uint64

	mu      sync.Mutex
	result  Result
	first   []time.Duration
	entries []policy
	engines []*railbatch.Engine
}

// Result is what callers got.
type Result struct {
	Policy string `json:"policy"`
	Asked  int    `json:"asked"`
	// OnTime, Late, Refused and Failed count callers, not tries.
	OnTime  int `json:"onTime"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Worth is the share of the worth that answers on time to all callers would have.
	Worth               float64 `json:"worth"`
	P50FirstTokenMillis float64 `json:"p50FirstTokenMillis"`
	P99FirstTokenMillis float64 `json:"p99FirstTokenMillis"`

	owed, earned float64
}

// Run sends the load and returns what callers got.
func (t *Trial) Run(ctx context.Context) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	for range t.most() {
		e := &railbatch.Engine{Timing: t.Timing, Slots: t.Slots, ChunkTokens: t.Chunk}
		t.engines = append(t.engines, e)
		background.Go(func() { e.Run(ctx) })
	}
	t.entries = t.policies(ctx)
	t.serve(t.Engines)
	background.Go(func() { t.change(ctx) })
	var callers sync.WaitGroup
	for i, kind := range t.Kinds {
		callers.Go(func() { t.send(ctx, kind, rand.New(rand.NewPCG(t.Seed, uint64(i))), &callers) })
	}
	callers.Wait()
	cancel()
	background.Wait()
	r := t.result
	r.Policy, r.Worth = t.Policy, r.earned/r.owed
	r.P50FirstTokenMillis, r.P99FirstTokenMillis = railpercentile.Millis(t.first, 50), railpercentile.Millis(t.first, 99)
	return r
}

func (t *Trial) backend() railbackend.Backend {
	usual := 0
	for _, k := range t.Kinds {
		usual += k.Prompt / len(t.Kinds)
	}
	return railbackend.Backend{Name: service, Engine: &railbackend.Engine{
		Slots: t.Slots, Timing: t.Timing, MeanPromptTokens: usual, MeanOutputTokens: t.Kinds[0].Answer,
	}}
}

func (t *Trial) policies(ctx context.Context) []policy {
	if t.Policy == System || t.Policy == Alike {
		return newOwn(ctx, t, t.Policy == Alike)
	}
	var list []policy
	for range t.Entries {
		list = append(list, &simple{least: t.Policy == LeastInFlight})
	}
	return list
}

func (t *Trial) most() int {
	most := t.Engines
	for _, c := range t.Changes {
		most = max(most, c.Engines)
	}
	return most
}

// serve tells the entries that the first n engines serve.
func (t *Trial) serve(n int) {
	indexes := make([]int, n)
	for i := range indexes {
		indexes[i] = i
	}
	for _, e := range t.entries {
		e.setEngines(indexes, t.Slots)
	}
}

func (t *Trial) change(ctx context.Context) {
	began := time.Now()
	for _, c := range t.Changes {
		if !railtimer.Sleep(ctx, c.After-time.Since(began)) {
			return
		}
		t.serve(c.Engines)
	}
}

// send sends the requests of a kind.
func (t *Trial) send(ctx context.Context, kind Kind, random *rand.Rand, callers *sync.WaitGroup) {
	began := time.Now()
	for time.Since(began) < t.Length {
		c := &caller{
			trial: t, kind: kind, entry: random.IntN(t.Entries), spread: random.Float64(),
			prompt: int(float64(kind.Prompt) * (1 + promptSpread*(2*random.Float64()-1))),
			wait:   time.Duration((1 - usedUp*random.Float64()) * float64(kind.Deadline)),
		}
		callers.Go(func() { c.run(ctx) })
		railtimer.Sleep(ctx, time.Duration(random.ExpFloat64()/kind.Rate*float64(time.Second)))
	}
}

// note counts what a caller got.
func (t *Trial) note(kind Kind, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &t.result
	r.Asked++
	r.owed += kind.Worth
	switch {
	case o.refused:
		r.Refused++
	case !o.whole:
		r.Failed++
	case o.first <= kind.Target && o.pause <= kind.Gap:
		r.OnTime++
		r.earned += kind.Worth
	default:
		r.Late++
		r.earned += kind.Late
	}
	if o.whole {
		t.first = append(t.first, o.first)
	}
}
