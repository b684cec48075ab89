package railload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/lab/railanswer"
	"github.com/fulmarrail/fulmarrail/internal/lab/railcaller"
)

const percentile = 0.95

// Load is a stream of requests at a steady rate; its fields are set before Run.
type Load struct {
	// Entries holds the callers' addresses of the entries, which take turns as behind a balancer.
	Entries []string
	Service string
	Path    string
	// Rate is in requests a second.
	Rate float64
	// Tokens is the length of each answer.
	AnswerTokens int
	// Keyed gives each request a caller's key of its own.
	Keyed     bool
	Customers []string
	Deadline  time.Duration
	Seed      uint64

	mu      sync.Mutex
	answers []railanswer.Answer
}

// Run sends requests until ctx is done and returns when all of them are answered.
func (l *Load) Run(ctx context.Context) {
	random := rand.New(rand.NewPCG(l.Seed, l.Seed))
	callers := make([]*railcaller.Caller, len(l.Customers))
	for i, customer := range l.Customers {
		callers[i] = &railcaller.Caller{Customer: customer, Deadline: l.Deadline}
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	nextSend := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		caller := callers[random.IntN(len(callers))]
		entry := l.Entries[n%len(l.Entries)]
		wg.Go(func() { l.sendRequest(caller, entry, n) })
		nextSend = nextSend.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
		railtimer.Sleep(ctx, time.Until(nextSend))
	}
}

// Answers returns what came back for the requests begun in a span of time.
func (l *Load) Answers(from, to time.Time) []railanswer.Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.answers), func(a railanswer.Answer) bool {
		return a.StartedAt.Before(from) || !a.StartedAt.Before(to)
	})
}

// FirstTokenP95 returns the 95th percentile of the time to the first token of the whole answers in a span of time.
func (l *Load) FirstTokenP95(from, to time.Time) time.Duration {
	return p95(l.Answers(from, to), func(a railanswer.Answer) time.Duration { return a.FirstToken })
}

// BetweenTokensP95 returns the 95th percentile of the time between tokens of the whole answers in a span of time.
func (l *Load) BetweenTokensP95(from, to time.Time) time.Duration {
	return p95(l.Answers(from, to), func(a railanswer.Answer) time.Duration { return a.BetweenTokens })
}

func (l *Load) sendRequest(caller *railcaller.Caller, entry string, n int) {
	key := ""
	if l.Keyed {
		key = fmt.Sprintf("%s-%d-%d", l.Service, l.Seed, n)
	}
	body := fmt.Sprintf(`{"n": %d, "maxTokens": %d}`, n, l.AnswerTokens)
	answer := caller.Send(entry, l.Service, l.Path, body, key, defaultPriority)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, answer)
}

const defaultPriority = 5

func p95(answers []railanswer.Answer, value func(railanswer.Answer) time.Duration) time.Duration {
	var values []time.Duration
	for _, a := range answers {
		if a.Complete {
			values = append(values, value(a))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(percentile*float64(len(values)-1))]
}
