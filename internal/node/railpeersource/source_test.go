package railpeersource_test

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/node/railpeersource"
	"github.com/fulmarrail/fulmarrail/internal/node/railreplicaserver"
	"github.com/fulmarrail/fulmarrail/internal/standin/railtables"
	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	table = "t"
	// wait, timeout and maxAge are the polling time, the timeout and the age up to which keys are accepted of the smallest deployments.
	wait, timeout, maxAge = 1600 * time.Millisecond, time.Second, 4 * time.Second
	storeDelay, peerDelay = 4 * time.Millisecond, 3 * time.Millisecond
	peerTimeout           = 300 * time.Millisecond
)

var errRefused = errors.New("connection refused")

// cluster is a store and entries that replicate its table. Each entry may be cut from the store, and be silent towards the others.
type cluster struct {
	tables  railtables.Tables
	entries []*entry

	mu     sync.Mutex
	number int
	// changes holds the times of the changes by number.
	changes []time.Time
}

type entry struct {
	cluster  *cluster
	index    int
	follower *railreplica.Follower
	server   *railreplicaserver.Server

	mu sync.Mutex
	// cut makes the store refuse this entry, unanswered makes its requests get lost, and silent its replies to other entries.
	cut, unanswered, silent bool
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{changes: []time.Time{time.Now()}}
	_ = c.tables.Table(table) // The store's clock starts before the processes.
	c.change(t)
	time.Sleep(time.Second)
	for i := range n {
		c.entries = append(c.entries, &entry{cluster: c, index: i})
	}
	for _, e := range c.entries {
		start := time.Now().Add(-time.Duration(e.index) * time.Hour) // Their VMs have started at different times.
		now := func() time.Duration { return time.Since(start) }
		e.follower = &railreplica.Follower{
			Source: e, Table: table, Wait: wait, Timeout: timeout, Now: now, OnChange: func(map[string]railreplica.Row) {}, Log: slog.New(slog.DiscardHandler),
			Fallback: &railpeersource.Source{Addresses: e.others, Request: e.request, Timeout: peerTimeout, Now: now},
		}
		e.server = &railreplicaserver.Server{Followers: map[string]*railreplica.Follower{table: e.follower}, Now: now}
		go e.follower.Run(t.Context())
	}
	time.Sleep(time.Second)
	return c
}

// change writes the next number, in a row that is large enough to be compressed, and adds and removes a row.
func (c *cluster) change(t *testing.T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	c.changes = append(c.changes, time.Now())
	value := strconv.Itoa(c.number) + strings.Repeat(" ", 10000)
	for _, change := range []railtable.Change{railtable.Put(table, "k", []byte(value)), railtable.Put(table, fmt.Sprint("row-", c.number), []byte("v")), railtable.Remove(table, fmt.Sprint("row-", c.number-3))} {
		_, err := c.tables.Change(change)
		qt.Assert(t, err, qt.IsNil)
	}
}

// check fails if an entry's replica is not that of a single moment, or if its age is lower than the time for which it has lacked a change.
func (c *cluster) check(t *testing.T, e *entry) time.Duration {
	t.Helper()
	age, known := e.follower.Age()
	qt.Assert(t, known, qt.IsTrue)
	rows := e.follower.Rows()
	number, err := strconv.Atoi(strings.TrimSpace(string(rows["k"].Value)))
	qt.Assert(t, err, qt.IsNil)
	c.mu.Lock()
	defer c.mu.Unlock()
	if number < c.number {
		missing := time.Since(c.changes[number+1])
		qt.Assert(t, age >= missing, qt.IsTrue, qt.Commentf("entry %d: age %s, change %d is missing for %s", e.index, age, number+1, missing))
	}
	for i := 1; i <= c.number; i++ {
		_, listed := rows[fmt.Sprint("row-", i)]
		qt.Assert(t, listed, qt.Equals, i <= number && i > number-3, qt.Commentf("entry %d: row %d at change %d", e.index, i, number))
	}
	return age
}

func (e *entry) set(change func(*entry)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

func (e *entry) state() (cut, unanswered, silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cut, e.unanswered, e.silent
}

func (e *entry) Table(ctx context.Context, name string) (railreplica.Page, error) {
	return e.call(ctx, func() (railreplica.Page, error) { return e.cluster.tables.Table(name), nil })
}

func (e *entry) Changes(ctx context.Context, name string, after int64, wait time.Duration) (railreplica.Page, error) {
	return e.call(ctx, func() (railreplica.Page, error) { return e.cluster.tables.Changes(ctx, name, after, wait) })
}

func (e *entry) call(ctx context.Context, read func() (railreplica.Page, error)) (railreplica.Page, error) {
	railtimer.Sleep(ctx, storeDelay)
	page, err := read()
	railtimer.Sleep(ctx, storeDelay)
	switch cut, unanswered, _ := e.state(); {
	case unanswered:
		<-ctx.Done()
		return railreplica.Page{}, ctx.Err()
	case cut:
		return railreplica.Page{}, errRefused
	}
	return page, err
}

func (e *entry) others() []string {
	var addresses []string
	for _, other := range e.cluster.entries {
		if other != e {
			addresses = append(addresses, strconv.Itoa(other.index))
		}
	}
	return addresses
}

func (e *entry) request(ctx context.Context, address string, req *railproto.ReplicaRequest) (*railproto.ReplicaReply, error) {
	i, err := strconv.Atoi(address)
	if err != nil {
		return nil, err
	}
	railtimer.Sleep(ctx, peerDelay)
	reply, err := e.cluster.entries[i].server.Changes(ctx, req)
	if _, _, silent := e.cluster.entries[i].state(); silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	railtimer.Sleep(ctx, peerDelay)
	return reply, err
}

// Guards against an entry that refuses all requests with keys because the store turns it away or does not answer it, although the others reach
// the store, and against one that believes an age which is too low then.
func TestEntryCutFromStoreStaysCurrentThroughOthers(t *testing.T) {
	for name, cutOff := range map[string]func(*entry){
		"refused":    func(e *entry) { e.cut = true },
		"unanswered": func(e *entry) { e.unanswered = true },
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				c := newCluster(t, 4)
				c.entries[0].set(cutOff)
				for start := time.Now(); time.Since(start) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
					if time.Since(start)%(2*time.Second) < 50*time.Millisecond {
						c.change(t)
					}
					for _, e := range c.entries {
						age := c.check(t, e)
						qt.Assert(t, age < maxAge, qt.IsTrue, qt.Commentf("entry %d: age %s after %s", e.index, age, time.Since(start)))
					}
				}
			})
		})
	}
}

// Guards against entries that confirm to each other what none of them has from the store.
func TestAgeGrowsWhileNoEntryReachesStore(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		for _, e := range c.entries {
			e.set(func(e *entry) { e.cut = true })
		}
		cutAt := time.Now()
		time.Sleep(3 * time.Second)
		c.change(t)
		for time.Since(cutAt) < 20*time.Second {
			for _, e := range c.entries {
				age := c.check(t, e)
				qt.Assert(t, age >= time.Since(cutAt), qt.IsTrue, qt.Commentf("entry %d: age %s after %s", e.index, age, time.Since(cutAt)))
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Guards against an entry that asks the same other entry again and again though that one does not reply or is as old as itself.
func TestEntryLeavesPeerThatCanNotHelp(t *testing.T) {
	for name, fail := range map[string]func(*entry){
		"silent":         func(e *entry) { e.silent = true },
		"cut off itself": func(e *entry) { e.cut = true },
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				c := newCluster(t, 4)
				c.entries[0].set(func(e *entry) { e.cut = true })
				time.Sleep(5 * time.Second)
				c.entries[1].set(fail)
				c.entries[2].set(fail)
				for start := time.Now(); time.Since(start) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
					age := c.check(t, c.entries[0])
					qt.Assert(t, age < maxAge, qt.IsTrue, qt.Commentf("age %s after %s", age, time.Since(start)))
				}
			})
		})
	}
}

// Guards against an entry that starts while the store turns it away and never learns the table.
func TestEntryStartsFromOthers(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		late := &entry{cluster: c, index: 2, cut: true}
		c.entries = append(c.entries, late)
		start := time.Now()
		now := func() time.Duration { return time.Since(start) }
		late.follower = &railreplica.Follower{
			Source: late, Table: table, Wait: wait, Timeout: timeout, Now: now, OnChange: func(map[string]railreplica.Row) {}, Log: slog.New(slog.DiscardHandler),
			Fallback: &railpeersource.Source{Addresses: late.others, Request: late.request, Timeout: peerTimeout, Now: now},
		}
		go late.follower.Run(t.Context())
		time.Sleep(3 * time.Second)
		c.change(t)
		time.Sleep(3 * time.Second)
		qt.Check(t, c.check(t, late) < maxAge, qt.IsTrue)
	})
}
