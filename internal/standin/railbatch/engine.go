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

// maxWaiting is the maximum number of requests that wait for a slot.
const maxWaiting = 32

// ErrFull means that the engine rejected the request without starting it, because too many requests wait for a slot.
var ErrFull = errors.New("the engine's request queue is full")

// Engine is a simulated engine. Its exported fields must be set before Run is called.
type Engine struct {
	Timing railbackend.Timing
	// Slots is the maximum number of running requests. ChunkTokens is the maximum number of prompt tokens prefilled in one pass.
	Slots, ChunkTokens int

	mu      sync.Mutex
	waiting []*request
	running []*request
	wake    chan struct{}
	once    sync.Once
}

// request is a waiting or running request.
type request struct {
	ctx context.Context
	// promptTokensLeft and outputTokensLeft are the numbers of tokens still to be prefilled and generated.
	promptTokensLeft, outputTokensLeft int
	done                               chan struct{}

	mu       sync.Mutex
	onOutput func()
}

// emitOutput calls onOutput, unless the request has been detached.
func (req *request) emitOutput() {
	req.mu.Lock()
	defer req.mu.Unlock()
	if req.onOutput != nil {
		req.onOutput()
	}
}

// detach prevents further calls of onOutput.
func (req *request) detach() {
	req.mu.Lock()
	defer req.mu.Unlock()
	req.onOutput = nil
}

// Run processes requests until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	e.init()
	for ctx.Err() == nil {
		p := e.startPass()
		if p.requestCount == 0 {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		railtimer.Sleep(ctx, p.duration)
		e.finishPass(p)
	}
}

// Generate prefills a prompt and generates a response of the given numbers of tokens. It calls onOutput for each part of the
// response, and not after it has returned. It returns ErrFull if the request was not started, or the error of ctx if ctx is done
// first.
func (e *Engine) Generate(ctx context.Context, promptTokens, outputTokens int, onOutput func()) error {
	e.init()
	req := &request{ctx: ctx, promptTokensLeft: promptTokens, outputTokensLeft: outputTokens, onOutput: onOutput, done: make(chan struct{})}
	e.mu.Lock()
	if len(e.waiting) >= maxWaiting {
		e.mu.Unlock()
		return ErrFull
	}
	e.waiting = append(e.waiting, req)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	select {
	case <-req.done:
		return nil
	case <-ctx.Done():
		req.detach()
		return ctx.Err()
	}
}

func (e *Engine) init() {
	e.once.Do(func() { e.wake = make(chan struct{}, 1) })
}

// pass is one pass over the running requests.
type pass struct {
	requestCount     int
	duration         time.Duration
	decodingRequests []*request
	prefills         []prefill
}

// prefill is the part of a request's prompt that a pass processes.
type prefill struct {
	request *request
	tokens  int
}

// startPass assigns free slots to waiting requests and plans the next pass.
func (e *Engine) startPass() pass {
	e.mu.Lock()
	defer e.mu.Unlock()
	canceled := func(req *request) bool { return req.ctx.Err() != nil }
	e.running, e.waiting = slices.DeleteFunc(e.running, canceled), slices.DeleteFunc(e.waiting, canceled)
	for len(e.waiting) > 0 && len(e.running) < e.Slots {
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	p := pass{requestCount: len(e.running)}
	prefillBudget, prefillTokens := e.ChunkTokens, 0
	for _, req := range e.running {
		if req.promptTokensLeft == 0 {
			p.decodingRequests = append(p.decodingRequests, req)
			continue
		}
		n := min(req.promptTokensLeft, prefillBudget)
		p.prefills = append(p.prefills, prefill{request: req, tokens: n})
		prefillBudget -= n
		prefillTokens += n
	}
	steps := 1
	if len(p.decodingRequests) > 0 {
		steps = e.Timing.StepsPerPass
	}
	p.duration = time.Duration(steps)*(e.Timing.StepTime+time.Duration(len(p.decodingRequests))*e.Timing.StepTimePerSequence) + e.Timing.PrefillTime(prefillTokens)
	return p
}

// finishPass applies the progress of a pass and removes the completed requests.
func (e *Engine) finishPass(p pass) {
	for _, req := range p.decodingRequests {
		req.outputTokensLeft -= e.Timing.StepsPerPass
		req.emitOutput()
	}
	for _, chunk := range p.prefills {
		req := chunk.request
		req.promptTokensLeft -= chunk.tokens
		if req.promptTokensLeft == 0 && chunk.tokens > 0 {
			req.outputTokensLeft--
			req.emitOutput()
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = slices.DeleteFunc(e.running, func(req *request) bool {
		finished := req.promptTokensLeft == 0 && req.outputTokensLeft <= 0
		if finished {
			close(req.done)
		}
		return finished
	})
}
