package railloadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/lab/railanswer"
	"github.com/fulmarrail/fulmarrail/internal/lab/railclient"
)

const percentile = 0.95

// Load sends requests at a steady mean rate. Its exported fields must be set before Run.
type Load struct {
	// Entries holds the entries' addresses for clients. Requests go to them in turn, as behind a round-robin load balancer.
	Entries []string
	Service string
	Path    string
	// Rate is in requests per second.
	Rate float64
	// OutputTokens is the length of each answer in tokens.
	OutputTokens int
	// Keyed gives each request its own idempotency key.
	Keyed     bool
	Customers []string
	Deadline  time.Duration
	Seed      uint64

	mu      sync.Mutex
	answers []railanswer.Answer
}

// Run sends requests until ctx is done, and returns when all of them have completed.
func (l *Load) Run(ctx context.Context) {
	random := rand.New(rand.NewPCG(l.Seed, l.Seed))
	callers := make([]*railclient.Caller, len(l.Customers))
	for i, customer := range l.Customers {
		callers[i] = &railclient.Caller{Customer: customer, Deadline: l.Deadline}
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

// Answers returns the answers to the requests started at or after from and before to.
func (l *Load) Answers(from, to time.Time) []railanswer.Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.answers), func(a railanswer.Answer) bool {
		return a.StartedAt.Before(from) || !a.StartedAt.Before(to)
	})
}

// FirstTokenP95 returns the 95th percentile of the time to the first token, over the complete answers to requests started at or after
// from and before to. It returns 0 if there are none.
func (l *Load) FirstTokenP95(from, to time.Time) time.Duration {
	return p95(l.Answers(from, to), func(a railanswer.Answer) time.Duration { return a.FirstToken })
}

// BetweenTokensP95 returns the 95th percentile of an answer's mean time between tokens, over the same answers as FirstTokenP95.
func (l *Load) BetweenTokensP95(from, to time.Time) time.Duration {
	return p95(l.Answers(from, to), func(a railanswer.Answer) time.Duration { return a.BetweenTokens })
}

func (l *Load) sendRequest(caller *railclient.Caller, entry string, n int) {
	key := ""
	if l.Keyed {
		key = fmt.Sprintf("%s-%d-%d", l.Service, l.Seed, n)
	}
	body := fmt.Sprintf(`{"n": %d, "maxTokens": %d}`, n, l.OutputTokens)
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
