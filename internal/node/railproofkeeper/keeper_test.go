package railproofkeeper_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railproof"
	"github.com/fulmarrail/fulmarrail/internal/membership/railproofs"
	"github.com/fulmarrail/fulmarrail/internal/node/railproofkeeper"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railenginestate"
)

const address = "10.0.0.1:80"

// testKeeper is a keeper of the proofs of one engine.
type testKeeper struct {
	*railproofkeeper.Keeper
	mu      sync.Mutex
	asked   int
	reports int
	// standstill is how much more time has passed for the process than for its timers.
	standstill time.Duration
}

// startKeeper starts a keeper. answer is what carriers know, and state what the engine says of itself.
func startKeeper(t *testing.T, answer *railproof.Proof, state *railenginestate.State) *testKeeper {
	start := time.Now()
	k := &testKeeper{}
	log := slog.New(slog.DiscardHandler)
	proofs := &railproofs.Proofs{OnChange: func(string, int64) {}, Log: log}
	k.Keeper = &railproofkeeper.Keeper{
		Proofs: proofs, Timer: &railtimer.Service{}, Log: log,
		Now: func() time.Duration {
			k.mu.Lock()
			defer k.mu.Unlock()
			return time.Since(start) + k.standstill
		},
		Ask: func([]railinstance.Instance) {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.asked++
			if answer != nil {
				proofs.Apply(*answer)
			}
		},
		Report: func(context.Context, railinstance.Instance) (railenginestate.State, error) {
			k.mu.Lock()
			k.reports++
			k.mu.Unlock()
			if state == nil {
				return railenginestate.State{}, errors.New("refused")
			}
			return *state, nil
		},
	}
	proofs.SetInstances([]railinstance.Instance{{ID: "e", Address: address, StartMillis: 1, WeightsVersion: 3}})
	go k.Timer.Run(t.Context())
	go k.Run(t.Context())
	return k
}

// Guards against entries that use no engine after their start, or all of them.
func TestStartedEntryFindsOutWhichWeightsAreProven(t *testing.T) {
	for name, test := range map[string]struct {
		answer  *railproof.Proof
		state   *railenginestate.State
		version int64
		within  time.Duration
	}{
		"a carrier knows":                                    {answer: &railproof.Proof{Address: address, StartMillis: 1, Sequence: 2, Version: 3}, version: 3, within: 300 * time.Millisecond},
		"a carrier does not know yet":                        {answer: &railproof.Proof{Address: address, StartMillis: 1, Sequence: 2}, within: 10 * time.Second},
		"no carrier, the engine was ordered nothing":         {state: &railenginestate.State{StartMillis: 1, Version: 3, HeldVersion: 3}, version: 3, within: 2 * time.Second},
		"no carrier, the engine was ordered something":       {state: &railenginestate.State{StartMillis: 1, Sequence: 2, Version: 3, HeldVersion: 3}, within: 10 * time.Second},
		"no carrier, the engine is executing its first":      {state: &railenginestate.State{StartMillis: 1, Version: 3, HeldVersion: 3, Busy: true}, within: 10 * time.Second},
		"no carrier, and the engine does not tell its state": {within: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				k := startKeeper(t, test.answer, test.state)
				time.Sleep(test.within)
				known, _ := k.Proofs.Get(address)
				qt.Check(t, known.Version, qt.Equals, test.version)
			})
		})
	}
}

// Guards against questions without end about an engine that never is proven.
func TestQuestionsBecomeRare(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		k := startKeeper(t, nil, nil)
		time.Sleep(time.Minute)
		k.mu.Lock()
		defer k.mu.Unlock()
		qt.Check(t, k.asked < 40 && k.reports < 40, qt.IsTrue, qt.Commentf("%d questions, %d reads", k.asked, k.reports))
	})
}

// Guards against requests to an engine whose weights have changed while this process stood still.
func TestProofsAreConfirmedAfterStandstill(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		answer := railproof.Proof{Address: address, StartMillis: 1, Sequence: 2, Version: 3}
		k := startKeeper(t, &answer, nil)
		time.Sleep(time.Second)
		known, _ := k.Proofs.Get(address)
		qt.Assert(t, known.Version, qt.Equals, int64(3))
		k.mu.Lock()
		answer = railproof.Proof{Address: address, StartMillis: 1, Sequence: 3}
		k.standstill = 4 * time.Second
		k.mu.Unlock()
		qt.Check(t, k.Suspended(), qt.IsTrue)
		time.Sleep(time.Second)
		qt.Check(t, k.Suspended(), qt.IsFalse)
		known, _ = k.Proofs.Get(address)
		qt.Check(t, known.Version, qt.Equals, int64(0))
	})
}

// Guards against reads of an engine by all entries for as long as its carrier verifies a load, or is gone: they can't show that weights are proven which
// the engine has been ordered to load.
func TestEngineIsNotReadAgainWhileItsOrderIsKnown(t *testing.T) {
	for name, test := range map[string]struct {
		answer *railproof.Proof
		reads  int
	}{
		"its carrier does not know yet": {answer: &railproof.Proof{Address: address, StartMillis: 1, Sequence: 2}},
		"its carrier is gone":           {reads: 1},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				k := startKeeper(t, test.answer, &railenginestate.State{StartMillis: 1, Sequence: 2, Version: 3, HeldVersion: 3})
				time.Sleep(time.Minute)
				k.mu.Lock()
				defer k.mu.Unlock()
				qt.Check(t, k.reports, qt.Equals, test.reads)
			})
		})
	}
}

// Guards against requests to an engine whose weights have changed while this VM was cut off, and against doubts when other entries were silent by themselves.
func TestProofsAreConfirmedAfterCut(t *testing.T) {
	for name, test := range map[string]struct {
		// words are what is heard after the silence, each by an entry and the run of its process.
		words map[string]uint32
		// other is set if another entry is heard all the time.
		other, doubted bool
	}{
		"all entries were silent":                {words: map[string]uint32{"a": 1, "b": 1}, doubted: true},
		"one was silent":                         {words: map[string]uint32{"a": 1}, other: true},
		"the only other entry has started again": {words: map[string]uint32{"a": 2}},
		"an entry that was never heard is heard": {words: map[string]uint32{"c": 1}},
		"all were silent, one has started again": {words: map[string]uint32{"a": 2, "b": 1}, doubted: true},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				answer := railproof.Proof{Address: address, StartMillis: 1, Sequence: 2, Version: 3}
				k := startKeeper(t, &answer, nil)
				for range 30 {
					k.Heard("a", 1)
					k.Heard("b", 1)
					time.Sleep(100 * time.Millisecond)
				}
				known, _ := k.Proofs.Get(address)
				qt.Assert(t, known.Version, qt.Equals, int64(3))
				k.mu.Lock()
				answer = railproof.Proof{Address: address, StartMillis: 1, Sequence: 3}
				k.mu.Unlock()
				for range 30 {
					if test.other {
						k.Heard("b", 1)
					}
					time.Sleep(100 * time.Millisecond)
				}
				for range 2 {
					for entry, incarnation := range test.words {
						k.Heard(entry, incarnation)
					}
					qt.Check(t, k.Suspended(), qt.Equals, test.doubted)
					test.doubted = false
					time.Sleep(500 * time.Millisecond)
				}
				known, _ = k.Proofs.Get(address)
				qt.Check(t, known.Version == 0, qt.Equals, test.words["b"] == 1 && !test.other)
			})
		})
	}
}
