package railroutetrial

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/lab/railcluster"
	"github.com/fulmarrail/fulmarrail/internal/lab/railpercentile"
	"github.com/fulmarrail/fulmarrail/internal/node/railrouter"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/standin/railengine"
	"github.com/fulmarrail/fulmarrail/internal/standin/railnetwork"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// PolicySystem is the system's own routing and admission.
	PolicySystem = "system"
	// PolicyRoundRobin is the baseline that selects engines in turn.
	PolicyRoundRobin = "roundRobin"
	// PolicyLeastInFlight is the baseline that selects the engine with the fewest requests in flight from the same entry.
	PolicyLeastInFlight = "leastInFlight"

	engineCount = 12
	entryCount  = 3
	// The rates are in requests per second.
	warmUpRate     = 350
	steadyRate     = 100
	burstRate      = 420
	warmUpDuration = 6 * time.Second
	steadyDuration = 5 * time.Second
	// quietDuration is longer than the time for which a sustained load counts as proof of capacity. An engine that becomes cold sooner
	// has just sustained its load.
	quietDuration   = 2500 * time.Millisecond
	burstDuration   = 6 * time.Second
	requestDeadline = 5 * time.Second
	outputTokens    = 10
	promptCount     = 24
)

// Result holds the measurements of one burst under one policy.
type Result struct {
	Policy              string  `json:"policy"`
	Requests            int     `json:"requests"`
	Complete            int     `json:"whole"`
	GoodputPerSecond    float64 `json:"goodputPerSecond"`
	Overloads           int     `json:"overloads"`
	P95FirstTokenMillis float64 `json:"p95FirstTokenMillis"`
	Refused             int     `json:"refused"`
	Failed              int     `json:"failed"`
	// PrefixHits is the number of requests whose prompt prefix was in the engine's cache, those before the burst included.
	PrefixHits int `json:"prefixHits"`
}

// Trial is one burst under one policy. Its exported fields must be set before Run.
type Trial struct {
	Policy string
	Seed   uint64

	mu              sync.Mutex
	result          Result
	firstTokenTimes []time.Duration
	engines         []*railengine.Engine
	inFlight        [entryCount][engineCount]int
	nextEngine      [entryCount]int
	routers         []*railrouter.Router
}

// Run runs the burst and returns its measurements, or an error if the cluster does not start.
func (t *Trial) Run(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.result.Policy = t.Policy
	cluster, err := t.start(ctx)
	if err != nil {
		return Result{}, err
	}
	random := rand.New(rand.NewPCG(t.Seed, t.Seed))
	var wg sync.WaitGroup
	t.sendLoad(ctx, &wg, random, warmUpRate, warmUpDuration, false)
	t.sendLoad(ctx, &wg, random, steadyRate, steadyDuration, false)
	time.Sleep(quietDuration)
	before := t.overloads()
	for i := range engineCount / 2 {
		t.engines[2*i].ResetWarmUp()
	}
	t.sendLoad(ctx, &wg, random, burstRate, burstDuration, true)
	wg.Wait()
	t.result.Overloads = t.overloads() - before
	for _, e := range t.engines {
		t.result.PrefixHits += e.PrefixHits()
	}
	t.result.GoodputPerSecond = float64(t.result.Complete) / burstDuration.Seconds()
	t.result.P95FirstTokenMillis = railpercentile.Millis(t.firstTokenTimes, 95)
	cancel()
	cluster.Wait()
	return t.result, nil
}

// overloads returns the number of times that an engine failed under overload.
func (t *Trial) overloads() int {
	total := 0
	for _, e := range t.engines {
		_, overloads, _ := e.Counts()
		total += overloads
	}
	return total
}

func (t *Trial) start(ctx context.Context) (*railcluster.Cluster, error) {
	platform := &railplatform.Platform{}
	manifest := platform.AddWeights("v1", []byte("weights"), 4)
	cluster := &railcluster.Cluster{
		Network: &railnetwork.Network{Delay: time.Millisecond}, Platform: platform, Log: slog.New(slog.DiscardHandler),
	}
	cluster.WriteFile("10.ini", config)
	for i := range engineCount {
		name := fmt.Sprintf("assistant-%d", i)
		engine := &railengine.Engine{
			ColdCapacity: 4, WarmCapacity: 16, WarmUpRequests: 60, FirstToken: 100 * time.Millisecond, BetweenTokens: 20 * time.Millisecond,
			DownTime: 5 * time.Second, PrefixCacheSize: 3, CacheHitFactor: 0.6, Incarnation: name,
		}
		t.engines = append(t.engines, engine)
		if err := cluster.StartAgent(ctx, name, "a", "assistant", engine); err != nil {
			return nil, err
		}
	}
	for i := range entryCount {
		r, err := cluster.StartRouter(ctx, fmt.Sprintf("entry-%d", i), "a", cluster.Folder)
		if err != nil {
			return nil, err
		}
		t.routers = append(t.routers, r)
	}
	startCtx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	return cluster, cluster.WaitUntil(startCtx, "all engines serve", func() bool {
		return !slices.ContainsFunc(t.engines, func(e *railengine.Engine) bool { return e.Digest() != manifest.Digest() })
	})
}

// sendLoad sends requests at the given rate per second for a duration. Only measured requests enter the result.
func (t *Trial) sendLoad(ctx context.Context, wg *sync.WaitGroup, random *rand.Rand, rate float64, duration time.Duration, measured bool) {
	end := time.Now().Add(duration)
	for n := 0; time.Now().Before(end); n++ {
		entry := n % entryCount
		prompt := random.IntN(promptCount)
		wg.Go(func() { t.sendRequest(ctx, entry, prompt, n, measured) })
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
}

func (t *Trial) sendRequest(ctx context.Context, entry, prompt, n int, measured bool) {
	start := time.Now()
	var firstToken time.Duration
	noteFirstToken := func(f *railproto.Frame) {
		if f.GetKind() == railproto.FrameKind_FRAME_KIND_DATA && firstToken == 0 {
			firstToken = time.Since(start)
		}
	}
	body := fmt.Sprintf(`{"n": %d, "maxTokens": %d}`, prompt, outputTokens)
	req := railcluster.NewRequest("assistant", "castle", "", body, true, requestDeadline)
	req.Affinity = body
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	var verdict railverdict.Verdict
	var err error
	if t.Policy == PolicySystem {
		verdict, _, err = t.routers[entry].Forward(ctx, req, func(_ string, f *railproto.Frame) error {
			noteFirstToken(f)
			return nil
		})
	} else {
		engine := t.chooseEngine(entry)
		verdict, err = t.engines[engine].Run(ctx, req.AttemptMessage(n, "", 0, start), noteFirstToken)
		t.finishRequest(entry, engine)
	}
	t.record(measured, verdict, err, firstToken)
}

func (t *Trial) record(measured bool, verdict railverdict.Verdict, err error, firstToken time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !measured {
		return
	}
	t.result.Requests++
	switch {
	case err == nil && verdict == railverdict.Ran:
		t.result.Complete++
		t.firstTokenTimes = append(t.firstTokenTimes, firstToken)
	case verdict == railverdict.NotRun && !errors.Is(err, context.Canceled):
		t.result.Refused++
	default:
		t.result.Failed++
	}
}

// chooseEngine selects an engine for the baseline policies. It uses only the entry's own requests in flight.
func (t *Trial) chooseEngine(entry int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := t.nextEngine[entry] % engineCount
	t.nextEngine[entry]++
	if t.Policy == PolicyLeastInFlight {
		for i := range engineCount {
			candidate := (best + i) % engineCount
			if t.inFlight[entry][candidate] < t.inFlight[entry][best] {
				best = candidate
			}
		}
	}
	t.inFlight[entry][best]++
	return best
}

func (t *Trial) finishRequest(entry, engine int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[entry][engine]--
}

const config = `
[origin main]
region = a
[zone a]
region = a
[customer castle]
[service assistant]
kind = engine
version = v1
coldLimit = 4
maxLimit = 16
warmAfter = 60
`
