package railfinder_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railfinder"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	agents  = 27
	version = 3
	latency = 2 * time.Millisecond
)

// world is a number of agents in three regions, and an origin.
type world struct {
	mu      sync.Mutex
	members []railmember.Member
	finders map[string]*railfinder.Finder
	dead    map[string]bool
	// late is an agent that does not look for the manifest.
	late  string
	reads int
	// readers holds who has read from the origin.
	readers map[string]bool
	// origin answers the n-th read.
	origin func(n int) (railmanifest.Manifest, error)
}

func newWorld(origin func(n int) (railmanifest.Manifest, error)) *world {
	w := &world{finders: map[string]*railfinder.Finder{}, dead: map[string]bool{}, origin: origin}
	for i := range agents {
		w.add(railmember.Member{Name: fmt.Sprintf("agent-%02d", i), Region: fmt.Sprintf("region-%d", i%3)})
	}
	return w
}

func (w *world) add(m railmember.Member) {
	w.members = append(w.members, m)
	w.finders[m.Name] = &railfinder.Finder{
		Self: m, Members: func() []railmember.Member { return w.members }, Ask: w.ask,
		Origin: func(ctx context.Context, model string, number int64) (railmanifest.Manifest, int64, error) {
			w.note(m.Name)
			return w.read(ctx, model, number)
		},
		OriginRegion: func() string { return "region-1" },
	}
}

// note notes who reads from the origin.
func (w *world) note(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.readers != nil {
		w.readers[name] = true
	}
}

func (w *world) ask(ctx context.Context, m railmember.Member, req *railproto.ManifestRequest) (*railproto.ManifestReply, error) {
	time.Sleep(latency)
	if w.dead[m.Name] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return w.finders[m.Name].Answer(ctx, req)
}

func (w *world) read(context.Context, string, int64) (railmanifest.Manifest, int64, error) {
	time.Sleep(latency)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reads++
	m, err := w.origin(w.reads)
	return m, version, err
}

// find lets all agents that live look for the manifest, again and again, and returns the longest time that one took.
func (w *world) find(t *testing.T) time.Duration {
	began := time.Now()
	var wg sync.WaitGroup
	for name, f := range w.finders {
		if w.dead[name] || name == w.late {
			continue
		}
		wg.Go(func() {
			for {
				m, found, err := f.Find(t.Context(), "m", version)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				qt.Check(t, found, qt.Equals, int64(version))
				qt.Check(t, m.Digest(), qt.Equals, sound().Digest())
				return
			}
		})
	}
	wg.Wait()
	return time.Since(began)
}

func sound() railmanifest.Manifest {
	return railmanifest.New("3", []byte("the weights of version three"), 8)
}

func TestOneAgentReadsTheManifestAndAllHaveIt(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newWorld(func(int) (railmanifest.Manifest, error) { return sound(), nil })
		took := w.find(t)
		qt.Check(t, w.reads, qt.Equals, 2)
		qt.Check(t, took < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
	})
}

func TestASpoiltManifestIsNotTaken(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newWorld(func(n int) (railmanifest.Manifest, error) {
			if n%3 == 1 {
				return railmanifest.New("3", []byte(fmt.Sprintf("something else %d", n)), 8), nil
			}
			return sound(), nil
		})
		w.find(t)
	})
}

func TestDeadAgentsDoNotKeepTheManifestFromTheOthers(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newWorld(func(int) (railmanifest.Manifest, error) { return sound(), nil })
		for i := range agents {
			w.dead[fmt.Sprintf("agent-%02d", i)] = i%9 < 6 && i%3 == 1 || i%5 == 0
		}
		took := w.find(t)
		qt.Check(t, took < 4*time.Second, qt.IsTrue, qt.Commentf("%s", took))
	})
}

func TestTheManifestIsReadSoonAfterTheOriginIsBack(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		const away = 6 * time.Second
		began := time.Now()
		w := newWorld(func(int) (railmanifest.Manifest, error) {
			if time.Since(began) < away {
				return railmanifest.Manifest{}, errors.New("connection refused")
			}
			return sound(), nil
		})
		took := w.find(t) - away
		qt.Check(t, took < time.Second, qt.IsTrue, qt.Commentf("%s after the origin was back", took))
	})
}

// After a loss of power the agents learn at different times what is wanted; the first in the order made all others wait.
func TestAgentsThatDoNotLookYetKeepNobodyWaiting(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		for late := range agents {
			w := newWorld(func(int) (railmanifest.Manifest, error) { return sound(), nil })
			name := w.members[late].Name
			w.late = name
			took := w.find(t)
			qt.Check(t, took < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%s while %s looks for nothing", took, name))
		}
	})
}

// Entries know first what is wanted.
func TestEntriesReadTheManifest(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		w := newWorld(func(int) (railmanifest.Manifest, error) { return sound(), nil })
		w.readers = map[string]bool{}
		for i := range 6 {
			w.add(railmember.Member{Name: fmt.Sprintf("entry-%d", i), Role: railmember.RoleEntry, Region: fmt.Sprintf("region-%d", i%3)})
		}
		took := w.find(t)
		qt.Check(t, took < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
		qt.Check(t, w.readers["entry-1"] != w.readers["entry-4"], qt.IsTrue, qt.Commentf("read by %v", w.readers))
		qt.Check(t, len(w.readers), qt.Equals, 1)
	})
}
