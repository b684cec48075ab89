package railfleet_test

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railentries"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/routing/railadmitter"
	"github.com/fulmarrail/fulmarrail/internal/wire/railloadbroadcast"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// In any limitWindow, an engine gets at most limitOvershoot times its limit for that time plus limitSlack requests, from
	// limitGrace after it first named its limit. A gateway counts from knownAfter after it got such a response.
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	limitGrace     = 3 * time.Second
	knownAfter     = 500 * time.Millisecond
	// joinGrace is the time after which a gateway that has joined counts with all its requests: limits are told twice a second.
	joinGrace = time.Second

	limitedLoadTime = 20 * time.Second
	// settleTime is the time after which all shares have come into use: they count as used when a limit begins.
	settleTime    = 6 * time.Second
	limitedSeed   = 1
	datagramDelay = 3 * time.Millisecond
	// limitedWait is the time for which a request may wait for an engine.
	limitedWait = 300 * time.Millisecond
)

// limitedEngine names a limit in all its responses.
type limitedEngine struct {
	limit      float64
	firstNamed time.Time
	// arrivals holds the times of requests from gateways that had got a response with the limit by then, and of all that have not
	// just joined if no datagrams are lost.
	arrivals []time.Time
	served   int
	// knownBy holds the time of the first response with the limit by gateway.
	knownBy map[int]time.Time
}

// limitedLoad is a deployment of gateways before engines with limits.
type limitedLoad struct {
	gateways  []*railfleet.Fleet
	admitters []*railadmitter.Admitter
	// lends is set if gateways lend each other parts of their shares.
	lends bool
	// skewed lets the demand at a gateway fall with its index.
	skewed bool
	// loss is the share of datagrams that are lost.
	loss float64
	// joining is the index of the first gateway that joins later, and joinAt the time from the start at which it does; 0 if none joins.
	joining int
	joinAt  time.Duration

	members []railmember.Member
	entries []*railentries.Entries

	// randomMu guards random and the range of the gateways that run.
	randomMu sync.Mutex
	random   *rand.Rand
	from, to int

	// mu guards all below and the engines' state.
	mu      sync.Mutex
	engines map[string]*limitedEngine
	asked   int
	// start is the beginning of the load. steadyAsked and steadyServed count what came later than settleTime after it.
	start                     time.Time
	steadyAsked, steadyServed int
}

// newLimitedLoad returns a deployment whose gateways all know each other.
func newLimitedLoad(gateways int, limits []float64) *limitedLoad {
	load := &limitedLoad{random: rand.New(rand.NewPCG(limitedSeed, 0)), engines: map[string]*limitedEngine{}}
	var list []railinstance.Instance
	for i, limit := range limits {
		id := fmt.Sprint("engine-", i)
		list = append(list, railinstance.Instance{ID: id, Service: "engines", Address: id, Slots: 16})
		load.engines[id] = &limitedEngine{limit: limit, knownBy: map[int]time.Time{}}
	}
	for i := range gateways {
		load.members = append(load.members, railmember.Member{Name: fmt.Sprint("gateway-", i)})
	}
	for _, m := range load.members {
		entries := &railentries.Entries{Self: m.Name, Log: slog.New(slog.DiscardHandler)}
		entries.SetMembers(load.members)
		load.entries = append(load.entries, entries)
		f := &railfleet.Fleet{Share: entries.Share, Holders: entries.Holders, OnChange: func() {}, Log: slog.New(slog.DiscardHandler)}
		f.SetInstances(list)
		a := &railadmitter.Admitter{Fleet: f}
		f.OnChange = a.Wake
		load.gateways, load.admitters = append(load.gateways, f), append(load.admitters, a)
	}
	load.setActive(0, gateways)
	return load
}

// setActive lets only the gateways of a range run.
func (load *limitedLoad) setActive(from, to int) {
	load.randomMu.Lock()
	defer load.randomMu.Unlock()
	load.from, load.to = from, to
}

// list lets the gateways of a range know of the first n only.
func (load *limitedLoad) list(n, from, to int) {
	for _, e := range load.entries[from:to] {
		e.SetMembers(load.members[:n])
	}
}

// run plays a load of the given number of requests per second, spread evenly over the gateways.
func (load *limitedLoad) run(t *testing.T, perSecond float64) {
	timer := &railtimer.Service{}
	go timer.Run(t.Context())
	for i, f := range load.gateways {
		b := &railloadbroadcast.Broadcaster{Name: fmt.Sprint("gateway-", i), Source: f, Timer: timer, Send: func(d *railproto.LoadDigest) { load.spread(i, d) }}
		go b.Run(t.Context())
		if load.lends {
			f.Ask = func(name string, loan *railproto.QuotaLoan) { load.ask(i, name, loan) }
		}
	}
	load.start = time.Now()
	for time.Since(load.start) < limitedLoadTime {
		pause := draw(load, (*rand.Rand).ExpFloat64) / perSecond
		gateway := draw(load, load.pickGateway)
		time.Sleep(time.Duration(pause * float64(time.Second)))
		go load.request(t.Context(), gateway)
	}
	time.Sleep(time.Second) // The last responses.
}

// pickGateway returns the index of the gateway that gets the next request.
func (load *limitedLoad) pickGateway(r *rand.Rand) int {
	n := load.to - load.from
	if load.skewed {
		return load.from + int(math.Pow(float64(n+1), r.Float64())) - 1
	}
	return load.from + r.IntN(n)
}

// spread sends a digest to the other gateways.
func (load *limitedLoad) spread(from int, digest *railproto.LoadDigest) {
	for i, f := range load.gateways {
		if i != from {
			load.send(from, i, func() { f.MergeDigest(digest) })
		}
	}
}

// ask sends a question for a loan to a gateway, and the answer back.
func (load *limitedLoad) ask(from int, name string, loan *railproto.QuotaLoan) {
	var to int
	if _, err := fmt.Sscanf(name, "gateway-%d", &to); err != nil {
		panic(err)
	}
	load.send(from, to, func() {
		answer := load.gateways[to].HandleLoan(loan)
		load.send(to, from, func() { load.gateways[from].HandleLoan(answer) })
	})
}

// send delivers a datagram between two gateways that run, unless it is lost.
func (load *limitedLoad) send(from, to int, deliver func()) {
	load.randomMu.Lock()
	defer load.randomMu.Unlock()
	runs := min(from, to) >= load.from && max(from, to) < load.to
	if runs && load.random.Float64() >= load.loss {
		time.AfterFunc(datagramDelay, deliver)
	}
}

// draw calls a function of the source of random numbers.
func draw[T any](load *limitedLoad, from func(*rand.Rand) T) T {
	load.randomMu.Lock()
	defer load.randomMu.Unlock()
	return from(load.random)
}

// justJoined reports whether a gateway has joined so lately that no digest need have told it of limits yet.
func (load *limitedLoad) justJoined(gateway int) bool {
	return load.joinAt > 0 && gateway >= load.joining && time.Since(load.start) < load.joinAt+joinGrace
}

// request lets a gateway send a request to an engine that may take it, if there is one in time.
func (load *limitedLoad) request(ctx context.Context, gateway int) {
	steady := time.Since(load.start) >= settleTime
	l, err := load.admitters[gateway].Acquire(ctx, railfleet.Requirements{
		Backend: railbackend.Backend{Name: "engines"}, RegionAllowed: func(string) bool { return true }, ZoneOut: func(string) bool { return false },
	}, 0, "", time.Now().Add(limitedWait))
	load.mu.Lock()
	defer load.mu.Unlock()
	load.asked++
	if steady {
		load.steadyAsked++
	}
	if err != nil {
		return
	}
	if steady {
		load.steadyServed++
	}
	e := load.engines[l.Instance.ID]
	e.served++
	if known, ok := e.knownBy[gateway]; ok && time.Since(known) >= knownAfter || load.loss == 0 && !load.justJoined(gateway) {
		e.arrivals = append(e.arrivals, time.Now())
	}
	latency := draw(load, func(r *rand.Rand) int { return 50 + r.IntN(250) })
	time.AfterFunc(time.Duration(latency)*time.Millisecond, func() { load.respond(e, gateway, l) })
}

// respond gives a gateway the response to a request, with the engine's limit.
func (load *limitedLoad) respond(e *limitedEngine, gateway int, l *railfleet.Lease) {
	load.mu.Lock()
	defer load.mu.Unlock()
	if e.firstNamed.IsZero() {
		e.firstNamed = time.Now()
	}
	if _, ok := e.knownBy[gateway]; !ok {
		e.knownBy[gateway] = time.Now()
	}
	l.RecordLimit(e.limit)
	l.Started()
	l.Done(railfleet.Answered)
}

// worstWindow returns the largest number of requests that an engine got in any limitWindow that counts.
func (e *limitedEngine) worstWindow() int {
	arrivals := slices.DeleteFunc(slices.Clone(e.arrivals), func(at time.Time) bool { return at.Sub(e.firstNamed) < limitGrace })
	worst, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= limitWindow {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// served returns the number of requests that were sent to engines, and that which their limits allow in the whole time.
func (load *limitedLoad) served() (served int, allowed float64) {
	load.mu.Lock()
	defer load.mu.Unlock()
	for _, e := range load.engines {
		served += e.served
		allowed += e.limit * limitedLoadTime.Seconds()
	}
	return served, allowed
}

// checkLimits checks that no engine got more than its limit allows.
func (load *limitedLoad) checkLimits(t *testing.T) {
	t.Helper()
	load.mu.Lock()
	defer load.mu.Unlock()
	for id, e := range load.engines {
		allowed := limitOvershoot*e.limit*limitWindow.Seconds() + limitSlack
		qt.Check(t, float64(e.worstWindow()) <= allowed, qt.IsTrue, qt.Commentf("%s got %d requests in %s, its limit of %v allows %v", id, e.worstWindow(), limitWindow, e.limit, allowed))
	}
}

// The pattern of many gateways before engines that name small limits, with a demand below and above these limits. Guards against
// gateways that each keep to the limit alone, or don't keep to it at all, so that an engine in need gets many times what it takes.
func TestGatewaysTogetherKeepToLimitsOfEngines(t *testing.T) {
	limits := []float64{0.5, 1, 1.5, 3.2, 0.5, 1, 1.5, 3.2}
	for _, gateways := range []int{6, 18, 60} {
		for name, demand := range map[string]float64{"below": 6, "above": 60} {
			for _, loss := range []float64{0, 0.3, 1} {
				for _, lends := range []bool{false, true} {
					t.Run(fmt.Sprintf("%d gateways, demand %s, %v of datagrams lost, lending %v", gateways, name, loss, lends), func(t *testing.T) {
						railvirtualtime.Test(t, func(t *testing.T) {
							load := newLimitedLoad(gateways, limits)
							load.loss, load.lends = loss, lends
							load.run(t, demand)
							load.checkLimits(t)
							served, taken := load.served()
							t.Logf("%d of %d served, the limits allow %.0f", served, load.asked, taken)
							if loss == 0 {
								qt.Check(t, float64(served) >= 0.8*min(taken, float64(load.asked)) || !lends, qt.IsTrue)
							}
						})
					})
				}
			}
		}
	}
}

// Guards against gateways that send too much while their lists differ: some have joined that the others don't know yet, or have stopped but
// are still listed.
func TestGatewaysKeepToLimitsWhileOthersJoinAndStop(t *testing.T) {
	const (
		old, all, stopped = 6, 12, 3
		changeAt          = 8 * time.Second
		listDelay         = 2 * time.Second
	)
	for name, c := range map[string]struct{ from, to int }{"some join": {0, all}, "some stop": {stopped, old}, "both": {stopped, all}} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				load := newLimitedLoad(all, []float64{0.5, 1, 1.5, 3.2})
				load.lends = true
				load.list(old, 0, old)
				load.setActive(0, old)
				load.joining, load.joinAt = old, changeAt
				time.AfterFunc(changeAt, func() { load.setActive(c.from, c.to) })
				time.AfterFunc(changeAt+listDelay, func() { load.list(c.to, 0, old) })
				load.run(t, 40)
				load.checkLimits(t)
				served, taken := load.served()
				t.Logf("%d of %d served, the limits allow %.0f", served, load.asked, taken)
			})
		})
	}
}

// Guards against an endpoint with next to no limit that gets a request from each gateway, and against one that never gets any again, so that nobody
// learns of the end of its limit.
func TestEndpointThatTakesNothingGetsALookFromOneGateway(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		load := newLimitedLoad(60, []float64{0, 0.05, 0.1})
		load.lends = true
		load.run(t, 40)
		load.checkLimits(t)
		for id, e := range load.engines {
			looks := 0
			for _, at := range e.arrivals {
				if at.Sub(e.firstNamed) > limitGrace {
					looks++
				}
			}
			qt.Check(t, looks >= 1 && looks <= 2, qt.IsTrue, qt.Commentf("%s got %d requests in the %s after it had named its limit", id, looks, limitedLoadTime-limitGrace))
		}
	})
}
