package raillearner_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/config/railbriefer"
	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/config/railcurrent"
	"github.com/fulmarrail/fulmarrail/internal/config/raillearner"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	service = "engines"
	model   = "m"
)

// entry is an entry that agents ask.
type entry struct {
	member  railmember.Member
	briefer *railbriefer.Server
	current *railcurrent.Config
	age     time.Duration
	dead    bool
	asked   int
}

// world is a number of entries, one agent, and a store that only the agent reads.
type world struct {
	mu      sync.Mutex
	entries []*entry
	// stored is the configuration that the store has, and reads counts how often the agent read it.
	stored  railcatalog.Catalog
	reads   int
	away    bool
	current *railcurrent.Config
	learner *raillearner.Client
}

func newWorld(t *testing.T, zones ...string) *world {
	log := slog.New(slog.DiscardHandler)
	w := &world{current: &railcurrent.Config{RolloutTime: 8 * time.Second, Log: log}}
	regions := map[string]string{"near": "home", "nearby": "home", "far": "away"}
	for _, zone := range zones {
		e := &entry{current: &railcurrent.Config{RolloutTime: 8 * time.Second, Log: log}}
		e.member = railmember.Member{Name: "entry-" + zone, Address: "entry-" + zone, Zone: zone, Region: regions[zone]}
		e.briefer = &railbriefer.Server{
			Config: e.current, Age: func() time.Duration { return w.ageOf(e) }, Entries: w.members,
			Instances: func() []railinstance.Instance {
				return []railinstance.Instance{
					{Service: service, Address: "10.0.0.1:80", Zone: "near"},
					{Service: service, Address: "10.0.0.2:80", Zone: "far", Draining: true},
					{Service: "orders", Address: "10.0.0.3:80", Zone: "far"},
					{Service: service, Address: "10.0.0.4:80", Zone: "far"},
				}
			},
		}
		w.entries = append(w.entries, e)
	}
	w.learner = &raillearner.Client{
		Self:   railmember.Member{Name: "agent", Address: "10.0.0.9:7700", Zone: "near", Region: "home", Service: service},
		Config: w.current, ZoneRegions: regions, RequestBrief: w.ask, Store: w, OnChange: func() {}, Log: log,
		RequestAgents: func(ctx context.Context, address string, req *railproto.AgentsRequest) (*railproto.AgentsReply, error) {
			return w.entry(address).briefer.Agents(ctx, req)
		},
	}
	w.set(1)
	go w.learner.Run(t.Context())
	return w
}

// catalog returns a configuration that wants a version of the weights.
func catalog(version int64) railcatalog.Catalog {
	engine := railbackend.Backend{Name: service, Engine: &railbackend.Engine{Model: model, Layers: 16, Chunks: 96, ChunkBytes: 24_576}}
	origin := railbackend.Backend{Name: "portal", OriginAddress: "10.0.0.7:80", Zone: "far"}
	return railcatalog.Catalog{Version: version}.WithBackends([]railbackend.Backend{engine, origin}).WithWantedVersions(map[string]int64{model: version})
}

// set makes a configuration known to the store and to all entries that live.
func (w *world) set(version int64) {
	w.mu.Lock()
	w.stored = catalog(version)
	entries := w.entries
	w.mu.Unlock()
	for _, e := range entries {
		if w.ageOf(e) == 0 {
			e.current.Set(catalog(version))
			e.briefer.NotifyChange()
		}
	}
}

func (w *world) entry(address string) *entry {
	for _, e := range w.entries {
		if e.member.Address == address {
			return e
		}
	}
	return nil
}

func (w *world) members() []railmember.Member {
	var list []railmember.Member
	for _, e := range w.entries {
		list = append(list, e.member)
	}
	return list
}

func (w *world) ageOf(e *entry) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return e.age
}

func (w *world) ask(ctx context.Context, address string, req *railproto.BriefRequest) (*railproto.BriefReply, error) {
	e := w.entry(address)
	w.mu.Lock()
	e.asked++
	dead := e.dead
	w.mu.Unlock()
	if dead {
		time.Sleep(100 * time.Millisecond)
		return nil, errors.New("connection refused")
	}
	return e.briefer.Brief(ctx, req)
}

func (w *world) change(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (w *world) Entries(context.Context) ([]railmember.Member, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.away {
		return nil, errors.New("the store is away")
	}
	return w.members(), nil
}

func (w *world) LoadConfig(context.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.away {
		return errors.New("the store is away")
	}
	w.reads++
	w.current.Set(w.stored)
	return nil
}

func (w *world) Instances(context.Context) ([]railinstance.Instance, error) {
	return nil, errors.New("not to be asked")
}

// wanted returns the version that the agent takes to be wanted.
func (w *world) wanted() int64 {
	c, _ := w.current.Get()
	version, _ := c.WantedVersion(model)
	return version
}

func TestTheNearestEntryTellsAChangeAtOnce(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newWorld(t, "far", "near", "nearby")
		time.Sleep(time.Second)
		qt.Check(t, w.wanted(), qt.Equals, int64(1))
		w.set(2)
		time.Sleep(10 * time.Millisecond)
		qt.Check(t, w.wanted(), qt.Equals, int64(2))
		qt.Check(t, w.entry("entry-far").asked, qt.Equals, 0)
		qt.Check(t, w.reads, qt.Equals, 0)
		var hosts []string
		for _, i := range w.learner.Instances(time.Second) {
			hosts = append(hosts, i.Host())
		}
		qt.Check(t, hosts, qt.DeepEquals, []string{"10.0.0.1", "10.0.0.4"})
	})
}

func TestAnotherEntryTellsWhenTheNearestCannot(t *testing.T) {
	for name, fail := range map[string]func(*entry){
		"dead":                   func(e *entry) { e.dead = true },
		"cut off from the store": func(e *entry) { e.age = time.Minute },
	} {
		t.Run(name, func(t *testing.T) {
			railvirtual.Test(t, func(t *testing.T) {
				w := newWorld(t, "far", "near", "nearby")
				time.Sleep(time.Second)
				w.change(func() { fail(w.entry("entry-near")) })
				time.Sleep(20 * time.Second)
				w.set(2)
				time.Sleep(100 * time.Millisecond)
				qt.Check(t, w.wanted(), qt.Equals, int64(2))
				qt.Check(t, w.reads, qt.Equals, 0)
			})
		})
	}
}

func TestTheStoreIsReadWhenNoEntryAnswers(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newWorld(t, "far", "near")
		time.Sleep(time.Second)
		w.change(func() {
			for _, e := range w.entries {
				e.dead = true
			}
		})
		time.Sleep(20 * time.Second)
		w.set(2)
		time.Sleep(2 * time.Second)
		qt.Check(t, w.wanted(), qt.Equals, int64(2))
		w.change(func() { w.away = true })
		time.Sleep(20 * time.Second)
		w.change(func() { w.away, w.entry("entry-far").dead = false, false })
		w.set(3)
		time.Sleep(2 * time.Second)
		qt.Check(t, w.wanted(), qt.Equals, int64(3))
	})
}

// An agent that starts in the middle of a rollout knows how much of the time for it has passed.
func TestAnAgentThatStartsLateKnowsWhenWeightsWereNamed(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newWorld(t, "near")
		w.set(2)
		time.Sleep(5 * time.Second)
		late := &railcurrent.Config{RolloutTime: 8 * time.Second, Log: slog.New(slog.DiscardHandler)}
		learner := &raillearner.Client{
			Self: w.learner.Self, Config: late, RequestBrief: w.ask, Store: w, OnChange: func() {}, Log: slog.New(slog.DiscardHandler),
		}
		go learner.Run(t.Context())
		time.Sleep(100 * time.Millisecond)
		namings := late.WantedVersions(model)
		qt.Assert(t, len(namings) > 0, qt.IsTrue)
		last := namings[len(namings)-1]
		qt.Check(t, last.Version, qt.Equals, int64(2))
		qt.Check(t, last.Age > 5*time.Second && last.Age < 6*time.Second, qt.IsTrue, qt.Commentf("%s", last.Age))
	})
}
