package raillimittrial

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
)

const (
	service = "engines"
	zone    = "a"
	slots   = 16

	promptTokens     = 800
	outputTokens     = 60
	firstTokenTarget = 500 * time.Millisecond
	maxTokenGap      = 400 * time.Millisecond
	// headDelay is the time from a request's arrival to the start of the answer, and meanBodyTime the mean time from there to its end.
	headDelay    = 120 * time.Millisecond
	meanBodyTime = 600 * time.Millisecond
	// A request reaches the endpoint within minNetworkDelay to maxNetworkDelay after it was admitted. slowShare of them take up to
	// maxSlowDelay, as when a connection has to be opened first.
	minNetworkDelay = time.Millisecond
	maxNetworkDelay = 4 * time.Millisecond
	maxSlowDelay    = 200 * time.Millisecond
	slowShare       = 0.02

	// namesAfter is the time after which the endpoints name their limits.
	namesAfter = 2 * time.Second
	// atOnce is the longest wait of a request that counts as rejected at once.
	atOnce = 20 * time.Millisecond

	// When Disturbed is set, the gateway with the most requests freezes at freezeAfter for freezeTime, the second, if there is one, stops at
	// stopAfter, and another one with as many requests as the first joins at joinAfter. listDelay is the time until the others' lists show a
	// change.
	freezeAfter = 7 * time.Second
	freezeTime  = 2500 * time.Millisecond
	stopAfter   = 12 * time.Second
	joinAfter   = 14 * time.Second
	listDelay   = time.Second
)

// Trial is one run of gateways before endpoints that name limits. Its exported fields must be set before Run.
type Trial struct {
	Policy string
	// Engines is the number of endpoints, and Gateways that of gateways at the start.
	Gateways, Engines int
	// Limits are in requests per second. The endpoints name them in turn.
	Limits []float64
	// Demand is the ratio of the rate of all requests to the sum of the limits.
	Demand float64
	// The rate of requests falls with the rank of a gateway or a customer to the power of Skew. 0 means that all have the same.
	Skew float64
	// Customers is the number of customers.
	Customers int
	// LostDatagrams is the share of datagrams between gateways that are lost.
	LostDatagrams float64
	// Disturbed makes one gateway join, one stop and one freeze.
	Disturbed bool
	Duration  time.Duration
	Seed      uint64

	engines       []*engine
	engineIndexes map[string]int
	gateways      []*gateway
	mu            sync.Mutex
	random        *rand.Rand
	// listed holds the indexes of the gateways on the list, and taking those that get new requests.
	listed, taking []int
	result         Result
	customers      []tally
	tallies        []tally
	waits          []time.Duration
}

// Run sends the requests and returns the result. It can be called once.
func (t *Trial) Run(ctx context.Context) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	t.init(start)
	var background sync.WaitGroup
	for i := range t.Gateways {
		background.Go(func() { t.broadcastLater(ctx, i) })
	}
	if t.Disturbed {
		background.Go(func() { t.disturb(ctx, start, &background) })
	}
	var clients sync.WaitGroup
	t.sendRequests(ctx, start, &clients)
	clients.Wait()
	to := start.Add(t.Duration)
	cancel()
	background.Wait()
	return t.sumUp(start.Add(namesAfter+settleTime), to)
}

func (t *Trial) init(start time.Time) {
	t.random = rand.New(rand.NewPCG(t.Seed, uint64(t.Gateways)))
	t.engineIndexes = map[string]int{}
	for i := range t.Engines {
		t.engines = append(t.engines, &engine{limit: t.Limits[i%len(t.Limits)], namesAt: start.Add(namesAfter), notifiedAt: map[int]time.Time{}})
		t.engineIndexes[engineID(i)] = i
	}
	// The last gateway joins later, if at all.
	for i := range t.Gateways + 1 {
		t.gateways = append(t.gateways, newGateway(t, i))
	}
	t.customers, t.tallies = make([]tally, t.Customers), make([]tally, len(t.gateways))
	for i := range t.Gateways {
		t.listed = append(t.listed, i)
	}
	t.taking = slices.Clone(t.listed)
	for _, g := range t.gateways {
		g.setMembers(t.listed)
	}
}

func (t *Trial) backend() railbackend.Backend {
	return railbackend.Backend{Name: service, Engine: &railbackend.Engine{
		Slots: slots, MeanPromptTokens: promptTokens, MeanOutputTokens: outputTokens,
		Timing: railbackend.Timing{
			StepTime: 8870 * time.Microsecond, StepTimePerSequence: 40 * time.Microsecond, StepsPerPass: 5, PrefillTokensPerSecond: 19_100, TimePerMillionPairs: 1470 * time.Microsecond,
		},
	}}
}

// broadcastLater starts the digests of a gateway at a time that differs from those of the others.
func (t *Trial) broadcastLater(ctx context.Context, index int) {
	if railtimer.Sleep(ctx, time.Duration(t.draw()*float64(500*time.Millisecond))) {
		t.gateways[index].broadcast(ctx)
	}
}

// disturb freezes and stops a gateway and starts another one.
func (t *Trial) disturb(ctx context.Context, start time.Time, background *sync.WaitGroup) {
	at := func(d time.Duration) bool { return railtimer.Sleep(ctx, time.Until(start.Add(d))) }
	if !at(freezeAfter) {
		return
	}
	t.gateways[0].freeze(ctx, freezeTime)
	stopped, joined := 1, t.Gateways
	if t.Gateways == 1 || !at(stopAfter) {
		return
	}
	t.setTaking(func(list []int) []int { return slices.DeleteFunc(list, func(i int) bool { return i == stopped }) })
	if !at(stopAfter + listDelay) {
		return
	}
	t.list(func(list []int) []int { return slices.DeleteFunc(list, func(i int) bool { return i == stopped }) })
	if !at(joinAfter) {
		return
	}
	t.gateways[joined].setMembers(append(t.listedNow(), joined))
	background.Go(func() { t.gateways[joined].broadcast(ctx) })
	t.setTaking(func(list []int) []int { return append(list, joined) })
	if at(joinAfter + listDelay) {
		t.list(func(list []int) []int { return append(list, joined) })
	}
}

// setTaking changes the gateways that get new requests.
func (t *Trial) setTaking(change func([]int) []int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.taking = change(t.taking)
}

// list changes the list of gateways and hands it to all of them.
func (t *Trial) list(change func([]int) []int) {
	t.mu.Lock()
	t.listed = change(t.listed)
	t.mu.Unlock()
	for _, g := range t.gateways {
		g.setMembers(t.listedNow())
	}
}

func (t *Trial) listedNow() []int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.listed)
}

// peersOf returns the gateways that get the datagrams of a gateway.
func (t *Trial) peersOf(g *gateway) []*gateway {
	t.mu.Lock()
	defer t.mu.Unlock()
	var peers []*gateway
	for _, i := range t.taking {
		if i != g.index {
			peers = append(peers, t.gateways[i])
		}
	}
	return peers
}

func (t *Trial) losesDatagram() bool {
	return t.LostDatagrams > 0 && t.draw() < t.LostDatagrams
}

// draw returns a random number from 0 to 1.
func (t *Trial) draw() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64()
}

// sendRequests sends requests at exponentially distributed intervals, and adds a goroutine to clients for each.
func (t *Trial) sendRequests(ctx context.Context, start time.Time, clients *sync.WaitGroup) {
	rate := 0.0
	for _, e := range t.engines {
		rate += t.Demand * e.limit
	}
	random := rand.New(rand.NewPCG(t.Seed, uint64(t.Engines)))
	next := start
	for {
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if next.Sub(start) >= t.Duration || !railtimer.Sleep(ctx, time.Until(next)) {
			return
		}
		c := &client{trial: t, gateway: t.pickGateway(random), customer: pick(random, t.Customers, t.Skew), counted: next.Sub(start) >= namesAfter+settleTime}
		c.networkDelay = minNetworkDelay + time.Duration(random.Float64()*float64(maxNetworkDelay-minNetworkDelay))
		if random.Float64() < slowShare {
			c.networkDelay = time.Duration(random.Float64() * float64(maxSlowDelay))
		}
		c.bodyTime = time.Duration(random.ExpFloat64() * float64(meanBodyTime))
		clients.Go(func() { c.run(ctx) })
	}
}

// pickGateway returns a gateway that takes requests. Those of a gateway that does not go to another one.
func (t *Trial) pickGateway(random *rand.Rand) *gateway {
	index := pick(random, t.Gateways, t.Skew)
	t.mu.Lock()
	defer t.mu.Unlock()
	if joined := t.Gateways; index == 0 && slices.Contains(t.taking, joined) && random.IntN(2) == 0 {
		index = joined
	}
	if !slices.Contains(t.taking, index) {
		index = t.taking[random.IntN(len(t.taking))]
	}
	return t.gateways[index]
}

// pick returns a random rank below n. Its probability falls with the rank to the power of skew.
func pick(random *rand.Rand, n int, skew float64) int {
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -skew)
	}
	x := random.Float64() * total
	for i := range n {
		if x -= math.Pow(float64(i+1), -skew); x < 0 {
			return i
		}
	}
	return n - 1
}

// client sends one request.
type client struct {
	trial                  *Trial
	gateway                *gateway
	customer               int
	networkDelay, bodyTime time.Duration
	counted                bool
}

func (c *client) run(ctx context.Context) {
	<-c.gateway.whileFrozen()
	start, waits := time.Now(), c.gateway.callerContext()
	target, err := c.gateway.policy.acquire(waits, fmt.Sprint("customer-", c.customer))
	if c.counted {
		c.trial.record(outcome{customer: c.customer, gateway: c.gateway.index, served: err == nil, abandoned: waits.Err() != nil, wait: time.Since(start)})
	}
	if err != nil {
		return
	}
	defer target.release()
	railtimer.Sleep(ctx, c.networkDelay)
	<-c.gateway.whileFrozen()
	e := c.trial.engines[target.engine]
	e.receive(c.gateway.index)
	railtimer.Sleep(ctx, headDelay)
	<-c.gateway.whileFrozen()
	target.onHead(e.answer(c.gateway.index))
	railtimer.Sleep(ctx, c.bodyTime)
}
