package railconfigclient_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railactiveconfig"
	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/config/railcatalog"
	"github.com/fulmarrail/fulmarrail/internal/config/railconfigclient"
	"github.com/fulmarrail/fulmarrail/internal/config/railconfigserver"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	service = "engines"
	model   = "m"
	// maxConfigAge is the age above which an entry's configuration is too old to serve.
	maxConfigAge = 4 * time.Second
)

// testEntry is an entry that serves agents.
type testEntry struct {
	member railmember.Member
	server *railconfigserver.Server
	config *railactiveconfig.Config
	age    time.Duration
	down   bool
	// silent makes the entry's replies get lost.
	silent   bool
	requests int
}

// testCluster consists of some entries, one agent, and a store that only the agent reads.
type testCluster struct {
	mu      sync.Mutex
	entries []*testEntry
	// storedCatalog is the configuration in the store, and storeReads is how often the agent has read it.
	storedCatalog railcatalog.Catalog
	storeReads    int
	storeDown     bool
	// entriesLost is set if the store was restored from a copy without the entries' rows.
	entriesLost bool
	config      *railactiveconfig.Config
	client      *railconfigclient.Client
}

func newTestCluster(t *testing.T, zones ...string) *testCluster {
	log := slog.New(slog.DiscardHandler)
	c := &testCluster{config: &railactiveconfig.Config{RolloutTime: 8 * time.Second, Now: newClock(), Log: log}}
	regions := map[string]string{"near": "home", "nearby": "home", "far": "away"}
	for _, zone := range zones {
		e := &testEntry{config: &railactiveconfig.Config{RolloutTime: 8 * time.Second, Now: newClock(), Log: log}}
		e.member = railmember.Member{Name: "entry-" + zone, Address: "entry-" + zone, Zone: zone, Region: regions[zone]}
		e.server = &railconfigserver.Server{
			Config: e.config, Age: func() time.Duration { return c.ageOf(e) }, MaxAge: maxConfigAge, Entries: c.members,
			Instances: func() []railinstance.Instance {
				return []railinstance.Instance{
					{Service: service, Address: "10.0.0.1:80", Zone: "near"},
					{Service: service, Address: "10.0.0.2:80", Zone: "far", Draining: true},
					{Service: "orders", Address: "10.0.0.3:80", Zone: "far"},
					{Service: service, Address: "10.0.0.4:80", Zone: "far"},
				}
			},
		}
		c.entries = append(c.entries, e)
	}
	c.client = &railconfigclient.Client{
		Self:   railmember.Member{Name: "agent", Address: "10.0.0.9:7700", Zone: "near", Region: "home", Service: service},
		Config: c.config, MaxConfigAge: maxConfigAge, ZoneRegions: regions, RequestBrief: c.requestBrief, Store: c, OnChange: func() {}, Now: newClock(), Log: log,
		RequestAgents: func(ctx context.Context, address string, req *railproto.AgentsRequest) (*railproto.AgentsReply, error) {
			return c.entry(address).server.Agents(ctx, req)
		},
	}
	c.config.MaxChangeAge = c.client.MaxChangeAge
	c.setVersion(1)
	go c.client.Run(t.Context())
	return c
}

// newClock returns a clock that starts at an arbitrary time.
func newClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Hour + time.Since(start) }
}

// catalog returns a configuration that requests a version of the weights.
func catalog(version int64) railcatalog.Catalog {
	engine := railbackend.Backend{Name: service, Engine: &railbackend.Engine{Model: model, Layers: 16, Chunks: 96, ChunkBytes: 24_576}}
	origin := railbackend.Backend{Name: "portal", OriginAddress: "10.0.0.7:80", Zone: "far"}
	return railcatalog.Catalog{Version: version}.WithBackends([]railbackend.Backend{engine, origin}).WithWantedVersions(map[string]int64{model: version})
}

// setVersion puts a configuration into the store and into all entries that can reach the store.
func (c *testCluster) setVersion(version int64) {
	c.mu.Lock()
	c.storedCatalog = catalog(version)
	entries := c.entries
	c.mu.Unlock()
	for _, e := range entries {
		if c.ageOf(e) == 0 {
			e.config.Set(catalog(version))
			e.server.NotifyChange()
		}
	}
}

func (c *testCluster) entry(address string) *testEntry {
	for _, e := range c.entries {
		if e.member.Address == address {
			return e
		}
	}
	return nil
}

func (c *testCluster) members() []railmember.Member {
	var list []railmember.Member
	for _, e := range c.entries {
		list = append(list, e.member)
	}
	return list
}

func (c *testCluster) ageOf(e *testEntry) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return e.age
}

func (c *testCluster) requestBrief(ctx context.Context, address string, req *railproto.BriefRequest) (*railproto.BriefReply, error) {
	e := c.entry(address)
	c.mu.Lock()
	e.requests++
	down := e.down
	c.mu.Unlock()
	if down {
		railtimer.Sleep(ctx, 100*time.Millisecond)
		return nil, errors.New("connection refused")
	}
	reply, err := e.server.Brief(ctx, req)
	c.mu.Lock()
	silent := e.silent
	c.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return reply, err
}

func (c *testCluster) update(apply func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	apply()
}

func (c *testCluster) Entries(context.Context) ([]railmember.Member, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeDown {
		return nil, errors.New("store is unavailable")
	}
	if c.entriesLost {
		return nil, nil
	}
	return c.members(), nil
}

func (c *testCluster) LoadConfig(context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeDown {
		return errors.New("store is unavailable")
	}
	c.storeReads++
	c.config.Set(c.storedCatalog)
	return nil
}

// countStoreReads returns how often the agent has read the configuration from the store.
func (c *testCluster) countStoreReads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeReads
}

func (c *testCluster) Instances(context.Context) ([]railinstance.Instance, error) {
	return nil, errors.New("unexpected call")
}

// wantedVersion returns the requested version in the agent's configuration.
func (c *testCluster) wantedVersion() int64 {
	catalog, _ := c.config.Get()
	version, _ := catalog.WantedVersion(model)
	return version
}

func TestClientReceivesChangesFromNearestEntry(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "far", "near", "nearby")
		time.Sleep(time.Second)
		qt.Check(t, c.wantedVersion(), qt.Equals, int64(1))
		c.setVersion(2)
		time.Sleep(10 * time.Millisecond)
		qt.Check(t, c.wantedVersion(), qt.Equals, int64(2))
		qt.Check(t, c.entry("entry-far").requests, qt.Equals, 0)
		qt.Check(t, c.countStoreReads(), qt.Equals, 0)
		var hosts []string
		for _, i := range c.client.Instances(time.Second) {
			hosts = append(hosts, i.Host())
		}
		qt.Check(t, hosts, qt.DeepEquals, []string{"10.0.0.1", "10.0.0.4"})
	})
}

func TestClientFailsOverToAnotherEntry(t *testing.T) {
	for name, injectFault := range map[string]func(*testEntry){
		"dead":                   func(e *testEntry) { e.down = true },
		"cut off from the store": func(e *testEntry) { e.age = time.Minute },
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				c := newTestCluster(t, "far", "near", "nearby")
				time.Sleep(time.Second)
				c.update(func() { injectFault(c.entry("entry-near")) })
				time.Sleep(20 * time.Second)
				c.setVersion(2)
				time.Sleep(100 * time.Millisecond)
				qt.Check(t, c.wantedVersion(), qt.Equals, int64(2))
				qt.Check(t, c.countStoreReads(), qt.Equals, 0)
			})
		})
	}
}

func TestClientReadsStoreWhenNoEntryAnswers(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "far", "near")
		time.Sleep(time.Second)
		c.update(func() {
			for _, e := range c.entries {
				e.down = true
			}
		})
		time.Sleep(20 * time.Second)
		c.setVersion(2)
		time.Sleep(2 * time.Second)
		qt.Check(t, c.wantedVersion(), qt.Equals, int64(2))
		c.update(func() { c.storeDown = true })
		time.Sleep(20 * time.Second)
		c.update(func() { c.storeDown, c.entry("entry-far").down = false, false })
		c.setVersion(3)
		time.Sleep(2 * time.Second)
		qt.Check(t, c.wantedVersion(), qt.Equals, int64(3))
	})
}

// Guards against an agent that counts the rollout time of a version from its own read of the store, after a time in which neither an
// entry nor the store could be reached.
func TestVersionReadAfterGapCountsFromLastConfirmation(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "far", "near")
		time.Sleep(time.Second)
		c.update(func() {
			c.storeDown = true
			for _, e := range c.entries {
				e.down = true
			}
		})
		time.Sleep(20 * time.Second)
		c.setVersion(2)
		time.Sleep(5 * time.Second)
		c.update(func() { c.storeDown = false })
		time.Sleep(2 * time.Second)
		versions := c.config.WantedVersions(model)
		last := versions[len(versions)-1]
		qt.Assert(t, last.Version, qt.Equals, int64(2))
		qt.Check(t, last.Age >= 7*time.Second, qt.IsTrue, qt.Commentf("%s", last.Age))
	})
}

// Guards against the age of a version that is too low by the time for which an entry's reply was on its way.
func TestVersionAgeIncludesDelayOfReply(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "near")
		time.Sleep(time.Second)
		config := &railactiveconfig.Config{RolloutTime: 8 * time.Second, Now: newClock(), Log: slog.New(slog.DiscardHandler)}
		client := &railconfigclient.Client{
			Self: c.client.Self, Config: config, MaxConfigAge: maxConfigAge, Store: c, OnChange: func() {}, Now: newClock(), Log: slog.New(slog.DiscardHandler),
			RequestBrief: func(ctx context.Context, address string, req *railproto.BriefRequest) (*railproto.BriefReply, error) {
				reply, err := c.requestBrief(ctx, address, req)
				railtimer.Sleep(ctx, 5*time.Second)
				return reply, err
			},
		}
		config.MaxChangeAge = client.MaxChangeAge
		go client.Run(t.Context())
		time.Sleep(7 * time.Second)
		requestedAt := time.Now()
		c.setVersion(2)
		time.Sleep(6 * time.Second)
		versions := config.WantedVersions(model)
		last := versions[len(versions)-1]
		qt.Assert(t, last.Version, qt.Equals, int64(2))
		qt.Check(t, last.Age >= time.Since(requestedAt), qt.IsTrue, qt.Commentf("age %s, time since the request %s", last.Age, time.Since(requestedAt)))
	})
}

// Guards against an agent that keeps an entry's guess of the time of a version although the entry knows it by now.
func TestAgentReplacesGuessOfEntry(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "near")
		time.Sleep(2 * time.Second)
		age := func(config *railactiveconfig.Config) time.Duration {
			versions := config.WantedVersions(model)
			return versions[len(versions)-1].Age
		}
		qt.Check(t, age(c.config) >= 6*time.Second, qt.IsTrue, qt.Commentf("a new entry guesses half of the rollout time: %s", age(c.config)))
		entry := c.entry("entry-near").config
		entry.RecordWantedVersion(model, 1, 2*time.Second, false)
		time.Sleep(2 * time.Second)
		difference := age(c.config) - age(entry)
		qt.Check(t, difference.Abs() < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%s", difference))
	})
}

// Guards against an agent that waits for the lost reply of an entry until after the rollout time.
func TestAgentLearnsOfVersionInTimeAlthoughReplyIsLost(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "near", "far")
		time.Sleep(time.Second)
		c.update(func() { c.entry("entry-near").silent = true })
		start := time.Now()
		c.setVersion(2)
		for c.wantedVersion() < 2 {
			time.Sleep(10 * time.Millisecond)
		}
		qt.Check(t, time.Since(start) < c.config.RolloutTime/2, qt.IsTrue, qt.Commentf("%s", time.Since(start)))
	})
}

// An agent that starts during a rollout must learn how much of the rollout time has passed.
func TestClientStartedDuringRolloutLearnsRequestTime(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "near")
		c.setVersion(2)
		time.Sleep(5 * time.Second)
		lateConfig := &railactiveconfig.Config{RolloutTime: 8 * time.Second, Now: newClock(), Log: slog.New(slog.DiscardHandler)}
		client := &railconfigclient.Client{
			Self: c.client.Self, Config: lateConfig, MaxConfigAge: maxConfigAge, RequestBrief: c.requestBrief, Store: c, OnChange: func() {}, Now: newClock(), Log: slog.New(slog.DiscardHandler),
		}
		go client.Run(t.Context())
		time.Sleep(100 * time.Millisecond)
		versions := lateConfig.WantedVersions(model)
		qt.Assert(t, len(versions) > 0, qt.IsTrue)
		last := versions[len(versions)-1]
		qt.Check(t, last.Version, qt.Equals, int64(2))
		qt.Check(t, last.Age > 5*time.Second && last.Age < 6*time.Second, qt.IsTrue, qt.Commentf("%s", last.Age))
	})
}
