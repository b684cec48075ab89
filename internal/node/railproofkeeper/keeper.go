package railproofkeeper

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railproof"
	"github.com/fulmarrail/fulmarrail/internal/membership/railproofs"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railenginestate"
)

const (
	// tickInterval is the time between looks at what is not proven, and maxStandstill the time without one after which the process counts as having
	// stood still.
	tickInterval  = 100 * time.Millisecond
	maxStandstill = time.Second
	// maxSilence is the time without a word from any other entry after which this one counts as having been cut off. Entries send digests twice a
	// second, and carriers wait longer for a reply.
	maxSilence = 1200 * time.Millisecond
	// firstDelay is the time between the first two questions about an engine. It doubles up to maxDelay.
	firstDelay = 100 * time.Millisecond
	maxDelay   = 2 * time.Second
	// unansweredQuestions is the number of questions after which the engine itself is asked which order it has executed last, if nobody has told.
	unansweredQuestions = 3
	// reportTimeout bounds one read of an engine's state, and maxReports the number of concurrent ones.
	reportTimeout = time.Second
	maxReports    = 8
)

// Keeper asks for proofs. Its exported fields must be set before Run.
type Keeper struct {
	Proofs *railproofs.Proofs
	// Ask asks the carriers beside engines, and another entry, what they know of the engines. Answers go to Proofs.
	Ask func(list []railinstance.Instance)
	// Report reads the state of an engine.
	Report func(ctx context.Context, i railinstance.Instance) (railenginestate.State, error)
	// Now returns the time of a clock that also runs while this VM is suspended.
	Now   func() time.Duration
	Timer *railtimer.Service
	Log   *slog.Logger

	questions map[string]question
	reports   *semaphore.Weighted
	// tickedAt is the time of the last look.
	tickedAt atomic.Int64
	// cutOff is set from the end of a time in which no other entry was heard until the proofs are in doubt.
	cutOff atomic.Bool

	mu sync.Mutex
	// heardAt is the time at which another entry was last heard, or 0, and heard holds what was heard of each.
	heardAt time.Duration
	heard   map[string]hearing
}

// hearing is the last word of another entry: when it came, and by which run of its process.
type hearing struct {
	at          time.Duration
	incarnation uint32
}

// question is the state of the search for one engine's proof.
type question struct {
	asked  int
	nextAt time.Duration
}

// Run asks for what is not proven until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	k.questions, k.reports = map[string]question{}, semaphore.NewWeighted(maxReports)
	k.tickedAt.Store(int64(k.Now()))
	ticks, stop := k.Timer.Subscribe(tickInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			k.tick(ctx)
		}
	}
}

// Heard records a word of another entry, by the run of its process with the given number. If all of them were silent for long, and this one did not
// start again meanwhile, this VM was cut off and may have missed statements.
func (k *Keeper) Heard(entry string, incarnation uint32) {
	now := k.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	last, known := k.heard[entry]
	if known && last.incarnation == incarnation && now-last.at > maxSilence && now-k.heardAt > maxSilence {
		k.cutOff.Store(true)
	}
	if k.heard == nil {
		k.heard = map[string]hearing{}
	}
	k.heard[entry] = hearing{at: now, incarnation: incarnation}
	if last.incarnation == incarnation {
		k.heardAt = now
	}
}

// Suspended reports whether this process has stood still or was cut off and has not yet put its proofs in doubt.
func (k *Keeper) Suspended() bool {
	if k.cutOff.Load() {
		return true
	}
	ticked := k.tickedAt.Load()
	return ticked > 0 && k.Now()-time.Duration(ticked) > maxStandstill
}

func (k *Keeper) tick(ctx context.Context) {
	now := k.Now()
	if k.Suspended() {
		k.Log.Warn("process has stood still or was cut off; proofs of weights are confirmed again", "cutOff", k.cutOff.Load(), "for", now-time.Duration(k.tickedAt.Load()))
		k.Proofs.DoubtAll()
		k.cutOff.Store(false)
	}
	k.tickedAt.Store(int64(now))
	k.ask(ctx, now)
}

// ask asks the questions that are due.
func (k *Keeper) ask(ctx context.Context, now time.Duration) {
	var due []railinstance.Instance
	open := map[string]question{}
	for _, i := range k.Proofs.Unproven() {
		q := k.questions[i.Address]
		if now >= q.nextAt {
			due = append(due, i)
			q = question{asked: q.asked + 1, nextAt: now + min(firstDelay<<min(q.asked, 10), maxDelay)}
			if q.asked > unansweredQuestions && !k.Proofs.OrderKnown(i.Address) {
				k.read(ctx, i)
			}
		}
		open[i.Address] = q
	}
	k.questions = open
	if len(due) > 0 {
		k.Ask(due)
	}
}

// read reads the state of an engine unless too many are being read. It confirms a proof of the same order, and shows weights that the engine came
// with.
func (k *Keeper) read(ctx context.Context, i railinstance.Instance) {
	if !k.reports.TryAcquire(1) {
		return
	}
	go func() {
		defer k.reports.Release(1)
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		s, err := k.Report(ctx, i)
		if err != nil {
			k.Log.Info("engine without proven weights does not tell its state", "endpoint", i.ID, "err", err)
			return
		}
		p := railproof.Proof{Address: i.Address, StartMillis: s.StartMillis, Sequence: s.Sequence}
		if s.Sequence == 0 && !s.Busy {
			p.Version = s.Version
		}
		applied := k.Proofs.Apply(p)
		k.Log.Info("engine has told its state", "endpoint", i.ID, "start", s.StartMillis, "sequence", s.Sequence, "version", s.Version, "proven", p.Version, "applied", applied)
	}()
}
