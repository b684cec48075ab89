package world

import (
	"bytes"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is for_s of node_freeze on side machines in the site file, and rotCount its share 0.06 of the pieces.
	freezeTime = 4 * time.Second
	rotCount   = 6
	// rotExcuse is the time for which a piece that has turned bad is excused by the rule.
	rotExcuse = 3 * time.Second
	// stagingCalls is the number of pieces that the carrier puts at a time.
	stagingCalls = 4
	rolloutTime  = 8 * time.Second
)

// freezeCase is what has been seen so far.
type freezeCase struct {
	w *world
	e *modelEngine

	mu                      sync.Mutex
	orders, tokens, badOnes int
	// spoilt holds the versions that were loaded from spoilt pieces.
	spoilt map[int]bool
}

func init() { cases["freeze"] = playFreeze }

// playFreeze freezes the machine of a carrier and its engine while a new version of the weights is staged, just after some of the staged pieces have turned
// bad.
func playFreeze(w *world, trouble bool) int {
	const gatewayIP, sideIP = "127.0.0.1", "127.0.0.2"
	inner := freePort(gatewayIP, sideIP)
	source, err := startOrigin("127.0.0.1")
	if err != nil {
		return failed
	}
	e := &modelEngine{id: "i-1", w: w, born: engineBorn, putTime: 10 * time.Millisecond, warmup: 300 * time.Millisecond}
	f := &freezeCase{w: w, e: e, spoilt: map[int]bool{}}
	e.onOrder, e.onToken = f.order, f.token
	if e.start(sideIP, 1) != nil {
		return failed
	}
	g := w.gateway("front-leinster-a-1", gatewayIP, inner)
	c := w.carrier("side-leinster-a-1", sideIP, inner, e.address, modelService)
	staging := make(chan struct{})
	var once sync.Once
	e.onPut = func(staged, underWay int) {
		if staged < chunkCount/2 || underWay < stagingCalls {
			return
		}
		once.Do(func() {
			w.note("the carrier has staged half of version 2; staged pieces turn bad: %v", e.spoil(2, rotCount))
			if trouble {
				w.note("the machine of the carrier and the engine freezes")
				c.signal(syscall.SIGSTOP)
				e.standing.Lock()
			}
			close(staging)
		})
	}
	w.store.put("op", "config", modelConfig(source))
	w.beat(e.id, e.row)
	if w.start(g) != nil || w.start(c) != nil || !g.awaitReady(20*time.Second) {
		return failed
	}
	time.Sleep(4 * time.Second)
	w.note("the operator names version 2")
	w.store.put("op", "version/"+modelName, map[string]any{"model": modelName, "version": 2})
	select {
	case <-staging:
	case <-time.After(2 * rolloutTime):
		w.note("the carrier has not staged the new version")
		return failed
	}
	if trouble {
		time.Sleep(freezeTime)
		w.note("the machine goes on")
		e.standing.Unlock()
		c.signal(syscall.SIGCONT)
	}
	for start := time.Now(); time.Since(start) < 2*rolloutTime && !f.done(); time.Sleep(100 * time.Millisecond) {
		id := fmt.Sprintf("%016d", time.Now().UnixNano()%1e16)
		status, err := askModel(g.front, id, "5c1e07a2:40,"+id+":250")
		w.note("a client sends request %s and gets %d, %v", id, status, err)
	}
	return f.result()
}

// order judges the pieces that an accepted order loads. The engine's lock is held.
func (f *freezeCase) order(version int) {
	var late []int
	recent, oldest := 0, time.Duration(0)
	for i := range chunkCount {
		if bytes.Equal(f.e.staged[i], chunk(version, i)) {
			continue
		}
		age := time.Since(f.e.spoiltAt[i])
		if !f.e.spoiltAt[i].IsZero() && age <= rotExcuse {
			recent++
			continue
		}
		late, oldest = append(late, i), max(oldest, age)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders++
	f.spoilt[version] = len(late) > 0
	f.w.note("the engine accepts the order to load version %d; pieces that turned bad within 3 s: %d; pieces that turned bad before, are missing or of another version: %v, the oldest for %.2f s", version, recent, late, oldest.Seconds())
}

// token judges a token of a version. The engine's lock is not held.
func (f *freezeCase) token(id string, version int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.w.note("the engine runs request %s with version %d", id, version)
	if version > 1 {
		f.tokens++
	}
	if f.spoilt[version] {
		f.badOnes++
		f.w.note("the engine makes a token for request %s with version %d, which was loaded from spoilt pieces", id, version)
	}
}

// done reports whether enough has been seen.
func (f *freezeCase) done() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tokens >= 3
}

func (f *freezeCase) result() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.w.note("orders %d, answers begun with version 2: %d, of these with layers from spoilt pieces: %d", f.orders, f.tokens, f.badOnes)
	switch {
	case f.badOnes > 0:
		return broken
	case f.tokens == 0:
		return failed
	}
	return held
}
