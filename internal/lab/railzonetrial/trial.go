package railzonetrial

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/lab/raildeployment"
	"github.com/fulmarrail/fulmarrail/internal/lab/railloadgen"
	"github.com/fulmarrail/fulmarrail/internal/standin/railengine"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

const (
	weightsBytes = 8 << 20
	chunkBytes   = 128 << 10
	settleTime   = 2 * time.Second
	// farFuture is longer than any trial, so that now plus farFuture is after every answer.
	farFuture = time.Hour
)

// Trial is one run of the experiment. Its fields must be set before Run.
type Trial struct {
	// EnginesPerZone applies to each of the three zones.
	EnginesPerZone int
	// RequestRate and OrderRate are in requests and orders per second.
	RequestRate, OrderRate float64
	// SteadyDuration is the time before the zone is taken out, OutDuration the time that it stays out, and ReturnDuration the time
	// measured after its return.
	SteadyDuration, OutDuration, ReturnDuration time.Duration
	// Rollout starts a rollout of a second version of the weights when the zone is taken out.
	Rollout bool
	Seed    uint64
	Log     *slog.Logger
	// OnStep is called with a description of each step of the run.
	OnStep func(step string)
}

// Run runs the trial and returns its result, or an error if the deployment does not start.
func (t *Trial) Run(ctx context.Context) (Result, error) {
	start := time.Now()
	platform := &railplatform.Platform{WriteRate: 500, ReadRate: 2000, ListLag: time.Second, Seed: t.Seed}
	firstManifest := platform.AddWeights("v1", t.randomWeights(1), chunkBytes)
	secondManifest := platform.AddWeights("v2", t.randomWeights(2), chunkBytes)
	d := &raildeployment.Deployment{
		Zones: zones, EntriesPerZone: 1, EnginesPerZone: t.EnginesPerZone, OrderServicesPerZone: 1, NewEngine: newEngine, OrderServiceDelay: orderServiceDelay,
		SharedKey: []byte("trial-shared-key"), Platform: platform, Log: t.Log,
	}
	defer d.Stop()
	if err := d.WriteFile("10-base.ini", baseConfig); err != nil {
		return Result{}, err
	}
	if err := d.Start(ctx); err != nil {
		return Result{}, err
	}
	engines := t.EnginesPerZone * len(zones)
	if err := errors.Join(d.WaitReady(ctx), d.WaitServing(ctx, firstManifest.Digest(), engines)); err != nil {
		return Result{}, err
	}
	rolloutTime := time.Since(start)
	t.OnStep(fmt.Sprintf("version v1 in service at %d engines after %.1f s, %.2f copies drawn from the origin",
		engines, rolloutTime.Seconds(), float64(platform.OriginBytes())/weightsBytes))
	r := t.runLoad(ctx, d, secondManifest.Digest())
	r.FirstRolloutSeconds = rolloutTime.Seconds()
	r.OriginCopies = float64(platform.OriginBytes()) / weightsBytes
	if t.Rollout {
		r.OriginCopies /= 2
		r.Rollout = true
	}
	r.Seconds = time.Since(start).Seconds()
	return r, nil
}

// runLoad takes the zone out and back under load and measures the effect. secondDigest is the manifest digest of the second version.
func (t *Trial) runLoad(ctx context.Context, d *raildeployment.Deployment, secondDigest string) Result {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	assistant := t.newLoad(d, raildeployment.AssistantService, "/v1/chat", t.RequestRate, false)
	orders := t.newLoad(d, raildeployment.OrdersService, "/print", t.OrderRate, true)
	var wg sync.WaitGroup
	wg.Go(func() { assistant.Run(loadCtx) })
	wg.Go(func() { orders.Run(loadCtx) })
	railtimer.Sleep(ctx, settleTime)
	steadyStart := time.Now()
	railtimer.Sleep(ctx, t.SteadyDuration)
	outStart := time.Now()
	t.reportStep(d.WriteFile("90-zone.ini", "[zone "+zones[0]+"]\nstate = out\n"), "zone "+zones[0]+" taken out")
	if t.Rollout {
		t.reportStep(d.WriteFile("80-version.ini", "[service assistant]\nversion = v2\n"), "version v2 wanted")
	}
	railtimer.Sleep(ctx, t.OutDuration)
	lastRequest := t.lastRequestStart(d)
	returnedAt := time.Now()
	t.reportStep(d.WriteFile("90-zone.ini", "[zone "+zones[0]+"]\nstate = in\n"), "zone "+zones[0]+" brought back")
	railtimer.Sleep(ctx, t.ReturnDuration)
	r := Result{LastRequestAfterSeconds: max(lastRequest.Sub(outStart).Seconds(), 0)}
	r.ServedAfterReturn = t.lastRequestStart(d).After(returnedAt)
	if t.Rollout {
		rolloutCtx, cancel := context.WithTimeout(ctx, rolloutTimeout)
		defer cancel()
		r.RolloutComplete = d.WaitServing(rolloutCtx, secondDigest, t.EnginesPerZone*len(zones)) == nil
	}
	stopLoad()
	wg.Wait()
	r.evaluate(assistant, orders, d, steadyStart, outStart)
	return r
}

// lastRequestStart returns the time at which the latest request started in the zone that is taken out.
func (t *Trial) lastRequestStart(d *raildeployment.Deployment) time.Time {
	var last time.Time
	for i := range t.EnginesPerZone {
		name := fmt.Sprintf("%s-%s-%d", raildeployment.AssistantService, zones[0], i)
		if start := d.SimulatedEngines()[name].LastRequestStart(); start.After(last) {
			last = start
		}
	}
	return last
}

func (t *Trial) newLoad(d *raildeployment.Deployment, service, path string, rate float64, keyed bool) *railloadgen.Load {
	var entries []string
	for _, address := range d.CallerAddresses() {
		entries = append(entries, address)
	}
	return &railloadgen.Load{
		Entries: entries, Service: service, Path: path, Rate: rate, OutputTokens: outputTokens, Keyed: keyed,
		Customers: customers, Deadline: requestDeadline, Seed: t.Seed,
	}
}

func (t *Trial) reportStep(err error, step string) {
	if err != nil {
		step += ": " + err.Error()
	}
	t.OnStep(step)
}

func (t *Trial) randomWeights(version uint64) []byte {
	random := rand.New(rand.NewPCG(t.Seed, version))
	weights := make([]byte, weightsBytes)
	for i := 0; i+8 <= len(weights); i += 8 {
		v := random.Uint64()
		for k := range 8 {
			weights[i+k] = byte(v >> (8 * k))
		}
	}
	return weights
}

func newEngine(name string) *railengine.Engine {
	return &railengine.Engine{
		ColdCapacity: coldCapacity, WarmCapacity: warmCapacity, WarmUpRequests: warmUpRequests, FirstToken: firstToken, BetweenTokens: betweenTokens,
		LoadTime: loadTime, DownTime: downTime, Incarnation: name,
	}
}
