package railmanifestfinder_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifestfinder"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	agentCount = 27
	version    = 3
	latency    = 2 * time.Millisecond
)

// cluster simulates agents in three regions and an origin.
type cluster struct {
	mu      sync.Mutex
	members []railmember.Member
	finders map[string]*railmanifestfinder.Finder
	dead    map[string]bool
	// idleAgent is the name of an agent that does not search for the manifest.
	idleAgent string
	reads     int
	// readers holds the names of the agents that have read from the origin, if it is not nil.
	readers map[string]bool
	// origin returns the result of the n-th read, counted from 1.
	origin func(n int) (railmanifest.Manifest, error)
}

func newCluster(origin func(n int) (railmanifest.Manifest, error)) *cluster {
	c := &cluster{finders: map[string]*railmanifestfinder.Finder{}, dead: map[string]bool{}, origin: origin}
	for i := range agentCount {
		c.add(railmember.Member{Name: fmt.Sprintf("agent-%02d", i), Region: fmt.Sprintf("region-%d", i%3)})
	}
	return c
}

func (c *cluster) add(m railmember.Member) {
	c.members = append(c.members, m)
	c.finders[m.Name] = &railmanifestfinder.Finder{
		Self: m, Members: func() []railmember.Member { return c.members }, RequestManifest: c.requestManifest,
		FetchFromOrigin: func(ctx context.Context, model string, version int64) (railmanifest.Manifest, int64, error) {
			c.recordReader(m.Name)
			return c.fetchFromOrigin(ctx, model, version)
		},
		OriginRegion: func() string { return "region-1" },
	}
}

func (c *cluster) recordReader(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readers != nil {
		c.readers[name] = true
	}
}

func (c *cluster) requestManifest(ctx context.Context, m railmember.Member, req *railproto.ManifestRequest) (*railproto.ManifestReply, error) {
	time.Sleep(latency)
	if c.dead[m.Name] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return c.finders[m.Name].HandleRequest(ctx, req)
}

func (c *cluster) fetchFromOrigin(context.Context, string, int64) (railmanifest.Manifest, int64, error) {
	time.Sleep(latency)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	m, err := c.origin(c.reads)
	return m, version, err
}

// findAll runs Find with retries on all live agents but idleAgent, and returns the time until the last one has the manifest.
func (c *cluster) findAll(t *testing.T) time.Duration {
	began := time.Now()
	var wg sync.WaitGroup
	for name, f := range c.finders {
		if c.dead[name] || name == c.idleAgent {
			continue
		}
		wg.Go(func() {
			for {
				m, resolved, err := f.Find(t.Context(), "m", version)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				qt.Check(t, resolved, qt.Equals, int64(version))
				qt.Check(t, m.Digest(), qt.Equals, validManifest().Digest())
				return
			}
		})
	}
	wg.Wait()
	return time.Since(began)
}

func validManifest() railmanifest.Manifest {
	return railmanifest.New("3", []byte("the weights of version three"), 8)
}

func TestOneAgentReadsOriginAndSharesManifest(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(func(int) (railmanifest.Manifest, error) { return validManifest(), nil })
		took := c.findAll(t)
		qt.Check(t, c.reads, qt.Equals, 2)
		qt.Check(t, took < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
	})
}

func TestCorruptManifestIsRejected(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(func(n int) (railmanifest.Manifest, error) {
			if n%3 == 1 {
				return railmanifest.New("3", []byte(fmt.Sprintf("something else %d", n)), 8), nil
			}
			return validManifest(), nil
		})
		c.findAll(t)
	})
}

func TestDeadAgentsDoNotBlockFind(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(func(int) (railmanifest.Manifest, error) { return validManifest(), nil })
		for i := range agentCount {
			c.dead[fmt.Sprintf("agent-%02d", i)] = i%9 < 6 && i%3 == 1 || i%5 == 0
		}
		took := c.findAll(t)
		qt.Check(t, took < 4*time.Second, qt.IsTrue, qt.Commentf("%s", took))
	})
}

func TestManifestIsReadSoonAfterOriginRecovers(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		const outage = 6 * time.Second
		began := time.Now()
		c := newCluster(func(int) (railmanifest.Manifest, error) {
			if time.Since(began) < outage {
				return railmanifest.Manifest{}, errors.New("connection refused")
			}
			return validManifest(), nil
		})
		took := c.findAll(t) - outage
		qt.Check(t, took < time.Second, qt.IsTrue, qt.Commentf("%s after the origin recovered", took))
	})
}

// Guards against one idle agent delaying all others. After a power loss the agents learn at different times which version is
// wanted, and all others waited for the agent that ranked first.
func TestIdleAgentsDoNotDelayOthers(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		for i := range agentCount {
			c := newCluster(func(int) (railmanifest.Manifest, error) { return validManifest(), nil })
			name := c.members[i].Name
			c.idleAgent = name
			took := c.findAll(t)
			qt.Check(t, took < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%s while %s is idle", took, name))
		}
	})
}

// Entries learn first which version is wanted.
func TestEntriesReadOriginFirst(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(func(int) (railmanifest.Manifest, error) { return validManifest(), nil })
		c.readers = map[string]bool{}
		for i := range 6 {
			c.add(railmember.Member{Name: fmt.Sprintf("entry-%d", i), Role: railmember.RoleEntry, Region: fmt.Sprintf("region-%d", i%3)})
		}
		took := c.findAll(t)
		qt.Check(t, took < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
		qt.Check(t, c.readers["entry-1"] != c.readers["entry-4"], qt.IsTrue, qt.Commentf("read by %v", c.readers))
		qt.Check(t, len(c.readers), qt.Equals, 1)
	})
}
