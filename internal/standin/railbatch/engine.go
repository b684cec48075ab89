package railbatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
)

// queue is the number of requests that may wait for a slot.
const queue = 32

// ErrFull means that the engine has not begun the request, since too many wait.
var ErrFull = errors.New("the engine is full")

// Engine is one engine; its fields are set before Run.
type Engine struct {
	Timing railbackend.Timing
	// Slots is the number of requests that run at once, and Chunk the most prompt tokens that one pass reads.
	Slots, ChunkTokens int

	mu      sync.Mutex
	waiting []*work
	running []*work
	wake    chan struct{}
	once    sync.Once
}

// work is one request.
type work struct {
	ctx context.Context
	// unread and unwritten are the numbers of tokens that are left.
	unread, unwritten int
	done              chan struct{}

	mu    sync.Mutex
	event func()
}

// tell calls event, unless the request's caller has left.
func (w *work) tell() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.event != nil {
		w.event()
	}
}

// leave ends the calls of event.
func (w *work) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.event = nil
}

// Run works until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	e.init()
	for ctx.Err() == nil {
		p := e.begin()
		if p.requests == 0 {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		railtimer.Sleep(ctx, p.takes)
		e.end(p)
	}
}

// Generate reads a prompt and writes an answer of numbers of tokens, and calls event for each part of the answer, or returns an
// error when ctx is done first or the request was not begun. Event is not called any more once it has returned.
func (e *Engine) Generate(ctx context.Context, prompt, answer int, event func()) error {
	e.init()
	w := &work{ctx: ctx, unread: prompt, unwritten: answer, event: event, done: make(chan struct{})}
	e.mu.Lock()
	if len(e.waiting) >= queue {
		e.mu.Unlock()
		return ErrFull
	}
	e.waiting = append(e.waiting, w)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		w.leave()
		return ctx.Err()
	}
}

func (e *Engine) init() {
	e.once.Do(func() { e.wake = make(chan struct{}, 1) })
}

// pass is one pass over the requests that run.
type pass struct {
	requests int
	takes    time.Duration
	writers  []*work
	reads    []reading
}

// reading is a number of tokens that a pass reads of a prompt.
type reading struct {
	work   *work
	tokens int
}

// begin takes waiting requests into free slots and lays out the next pass.
func (e *Engine) begin() pass {
	e.mu.Lock()
	defer e.mu.Unlock()
	gone := func(w *work) bool { return w.ctx.Err() != nil }
	e.running, e.waiting = slices.DeleteFunc(e.running, gone), slices.DeleteFunc(e.waiting, gone)
	for len(e.waiting) > 0 && len(e.running) < e.Slots {
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	p := pass{requests: len(e.running)}
	left, read := e.ChunkTokens, 0
	for _, w := range e.running {
		if w.unread == 0 {
			p.writers = append(p.writers, w)
			continue
		}
		n := min(w.unread, left)
		p.reads = append(p.reads, reading{work: w, tokens: n})
		left -= n
		read += n
	}
	steps := 1
	if len(p.writers) > 0 {
		steps = e.Timing.StepsPerPass
	}
	p.takes = time.Duration(steps)*(e.Timing.StepTime+time.Duration(len(p.writers))*e.Timing.StepTimePerSequence) + e.Timing.PrefillTime(read)
	return p
}

// end takes over what a pass has done.
func (e *Engine) end(p pass) {
	for _, w := range p.writers {
		w.unwritten -= e.Timing.StepsPerPass
		w.tell()
	}
	for _, r := range p.reads {
		w := r.work
		w.unread -= r.tokens
		if w.unread == 0 && r.tokens > 0 {
			w.unwritten--
			w.tell()
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = slices.DeleteFunc(e.running, func(w *work) bool {
		over := w.unread == 0 && w.unwritten <= 0
		if over {
			close(w.done)
		}
		return over
	})
}
