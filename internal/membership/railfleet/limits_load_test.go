package railfleet_test

import (
	"fmt"
	"log/slog"
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

	limitedLoadTime = 20 * time.Second
	digestDelay     = 3 * time.Millisecond
)

// limitedEngine names a limit in all its responses.
type limitedEngine struct {
	limit      float64
	firstNamed time.Time
	// arrivals holds the times of requests from gateways that had got a response with the limit by then.
	arrivals []time.Time
	served   int
	// knownBy holds the time of the first response with the limit by gateway.
	knownBy map[int]time.Time
}

// limitedLoad is a deployment of gateways before engines with limits.
type limitedLoad struct {
	gateways []*railfleet.Fleet

	// mu guards all below and the engines' state.
	mu      sync.Mutex
	random  *rand.Rand
	engines map[string]*limitedEngine
	// digestLoss is the share of digests that are lost.
	digestLoss float64
	asked      int
}

// newLimitedLoad returns a deployment whose gateways all know each other.
func newLimitedLoad(gateways int, limits []float64, seed uint64) *limitedLoad {
	load := &limitedLoad{random: rand.New(rand.NewPCG(seed, 0)), engines: map[string]*limitedEngine{}}
	var list []railinstance.Instance
	for i, limit := range limits {
		id := fmt.Sprint("engine-", i)
		list = append(list, railinstance.Instance{ID: id, Service: "engines", Address: id, Slots: 16})
		load.engines[id] = &limitedEngine{limit: limit, knownBy: map[int]time.Time{}}
	}
	var members []railmember.Member
	for i := range gateways {
		members = append(members, railmember.Member{Name: fmt.Sprint("gateway-", i)})
	}
	for _, m := range members {
		entries := &railentries.Entries{Self: m.Name, Log: slog.New(slog.DiscardHandler)}
		entries.SetMembers(members)
		f := &railfleet.Fleet{Share: entries.Share, OnChange: func() {}, Log: slog.New(slog.DiscardHandler)}
		f.SetInstances(list)
		load.gateways = append(load.gateways, f)
	}
	return load
}

// run plays a load of the given number of requests per second, spread evenly over the gateways.
func (load *limitedLoad) run(t *testing.T, perSecond float64) {
	timer := &railtimer.Service{}
	go timer.Run(t.Context())
	for i, f := range load.gateways {
		b := &railloadbroadcast.Broadcaster{Name: fmt.Sprint("gateway-", i), Source: f, Timer: timer, Send: func(d *railproto.LoadDigest) { load.spread(i, d) }}
		go b.Run(t.Context())
	}
	for start := time.Now(); time.Since(start) < limitedLoadTime; {
		load.mu.Lock()
		pause, gateway := load.random.ExpFloat64()/perSecond, load.random.IntN(len(load.gateways))
		load.mu.Unlock()
		time.Sleep(time.Duration(pause * float64(time.Second)))
		load.request(gateway)
	}
	time.Sleep(time.Second) // The last responses.
}

// spread sends a digest to the other gateways.
func (load *limitedLoad) spread(from int, digest *railproto.LoadDigest) {
	load.mu.Lock()
	defer load.mu.Unlock()
	for i, f := range load.gateways {
		if i != from && load.random.Float64() >= load.digestLoss {
			time.AfterFunc(digestDelay, func() { f.MergeDigest(digest) })
		}
	}
}

// request lets a gateway send a request to an engine that may take it, if there is one.
func (load *limitedLoad) request(gateway int) {
	load.mu.Lock()
	defer load.mu.Unlock()
	load.asked++
	l, ok := load.gateways[gateway].Reserve(railfleet.Requirements{
		Backend: railbackend.Backend{Name: "engines"}, RegionAllowed: func(string) bool { return true }, ZoneOut: func(string) bool { return false },
	})
	if !ok {
		return
	}
	e := load.engines[l.Instance.ID]
	e.served++
	if known, ok := e.knownBy[gateway]; ok && time.Since(known) >= knownAfter {
		e.arrivals = append(e.arrivals, time.Now())
	}
	time.AfterFunc(time.Duration(50+load.random.IntN(250))*time.Millisecond, func() { load.respond(e, gateway, l) })
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
	for _, e := range load.engines {
		served += e.served
		allowed += e.limit * limitedLoadTime.Seconds()
	}
	return served, allowed
}

// checkLimits checks that no engine got more than its limit allows.
func (load *limitedLoad) checkLimits(t *testing.T) {
	t.Helper()
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
				t.Run(fmt.Sprintf("%d gateways, demand %s, %v of digests lost", gateways, name, loss), func(t *testing.T) {
					railvirtualtime.Test(t, func(t *testing.T) {
						load := newLimitedLoad(gateways, limits, 1)
						load.digestLoss = loss
						load.run(t, demand)
						load.checkLimits(t)
						served, taken := load.served()
						t.Logf("%d of %d served, the limits allow %.0f", served, load.asked, taken)
					})
				})
			}
		}
	}
}
