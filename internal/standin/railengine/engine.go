package railengine

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/request/railcall"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	defaultTokens = 20
	maxTokens     = 100_000
	// overloadFactor is the load over what the engine bears at which it falls over.
	overloadFactor = 2
	prefixBytes    = 256
)

// Engine is an in-memory model engine; its fields are set before its first use and its knobs change it later.
type Engine struct {
	// ColdBears and WarmBears are the requests at once that it bears in cold start and when warm.
	ColdCapacity, WarmCapacity int
	// WarmUp is the number of answers after which a cold engine is warm.
	WarmUpRequests int
	// FirstToken and BetweenTokens are the times of an engine with one request; they grow with the batch.
	FirstToken, BetweenTokens time.Duration
	// LoadTime is the time that loading weights takes.
	LoadTime time.Duration
	// DownTime is the time that it stays down after it has fallen over.
	DownTime time.Duration
	// CachedPrefixes is the number of prompt prefixes that it keeps; a request whose prefix is kept has its first token
	// in CachedShare of the time.
	PrefixCacheSize int
	CacheHitFactor  float64
	// EventLag is the time after which a cache event is published, and every EventGap-th event is lost; 0 loses none.
	EventLag          time.Duration
	EventLossInterval int
	// LoadLag is the age of the load that is reported.
	LoadReportLag time.Duration
	// IgnoresFence makes it take orders with old fencing numbers.
	IgnoresFence bool
	// Incarnation names this start of the engine.
	Incarnation string

	mu        sync.Mutex
	chunks    map[string][]byte
	digest    string
	loading   bool
	fence     int64
	running   map[string]work
	cache     cache
	reports   []report
	adapters  []string
	role      string
	warmth    int
	downUntil time.Time
	overloads int
	served    int
	overLimit int
	lastBegan time.Time
	streams   map[string]*railcall.Call
	cuts      int
}

// work is one running request.
type work struct {
	cancel   context.CancelCauseFunc
	priority int32
}

var (
	errCancelled = errors.New("the request was cancelled")
	errFellOver  = errors.New("the engine fell over")
)

// Run generates the answer to a request.
func (e *Engine) Run(ctx context.Context, req *railproto.ExecuteRequest, emit func(*railproto.Frame)) (railverdict.Verdict, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := e.enter(req.GetRequestId(), work{cancel: cancel, priority: req.GetPriority()}); err != nil {
		return railverdict.NotRun, err
	}
	defer e.leave(req.GetRequestId())
	tokens := tokensOf(req.GetBody())
	digest := e.Digest()
	if err := e.pause(ctx, e.firstToken(req.GetBody()), req.GetPriority()); err != nil {
		return railverdict.MayHaveRun, err
	}
	for i := range tokens {
		if i > 0 {
			if err := e.pause(ctx, e.BetweenTokens, req.GetPriority()); err != nil {
				return railverdict.MayHaveRun, err
			}
		}
		if now := e.Digest(); now != digest {
			return railverdict.MayHaveRun, railendpoint.ErrMixedWeights
		}
		emit(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_DATA, Data: event(digest, i), WeightsDigest: digest})
	}
	e.finish()
	emit(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_END, Count: uint64(tokens), Status: 200, ContentType: "text/event-stream", WeightsDigest: digest})
	return railverdict.Ran, nil
}

// LoadedWeights returns the digest of the weights in service and the engine's incarnation.
func (e *Engine) LoadedWeights(context.Context) (digest, incarnation string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downUntil) {
		return "", "", errFellOver
	}
	return e.digest, e.Incarnation, nil
}

// LoadWeights serves the weights of a manifest after the load time; the digest in service is that of the bytes held.
func (e *Engine) LoadWeights(ctx context.Context, content []byte, fence int64) error {
	e.mu.Lock()
	if err := e.passFence(fence); err != nil {
		e.mu.Unlock()
		return err
	}
	var m railmanifest.Manifest
	if err := json.Unmarshal(content, &m); err != nil {
		e.mu.Unlock()
		return errors.Wrap(err, "decode the manifest")
	}
	actual := railmanifest.Manifest{Version: m.Version, Size: m.Size, ChunkSize: m.ChunkSize}
	for i, digest := range m.Chunks {
		data, ok := e.chunks[digest]
		if !ok {
			e.mu.Unlock()
			return errors.Newf("chunk %d of %s is missing", i, m.Version)
		}
		actual.Chunks = append(actual.Chunks, railmanifest.Sum(data))
	}
	e.digest = ""
	e.loading = true
	e.mu.Unlock()
	railtimer.Sleep(ctx, e.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = false
	e.digest = actual.Digest()
	e.warmth = 0
	return nil
}

// Chunks returns the digests of the chunks held.
func (e *Engine) Chunks(context.Context) ([]string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.chunks)), nil
}

// PutChunk holds one chunk.
func (e *Engine) PutChunk(_ context.Context, digest string, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.chunks == nil {
		e.chunks = map[string][]byte{}
	}
	e.chunks[digest] = slices.Clone(data)
	return nil
}

// Chunk returns one chunk held.
func (e *Engine) Chunk(_ context.Context, digest string) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, ok := e.chunks[digest]
	if !ok {
		return nil, errors.Newf("the engine has no chunk %s", digest)
	}
	return data, nil
}

// Keep drops all chunks but the given ones.
func (e *Engine) Keep(_ context.Context, digests []string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.chunks, func(digest string, _ []byte) bool { return !slices.Contains(digests, digest) })
	return nil
}

// Cancel ends a running request.
func (e *Engine) Cancel(requestID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w, ok := e.running[requestID]; ok {
		w.cancel(errCancelled)
	}
}

// ResetWarmUp makes a warm engine cold without warning.
func (e *Engine) ResetWarmUp() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.warmth = 0
}

// Digest returns the digest of the weights in service.
func (e *Engine) Digest() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.digest
}

// Counts returns the answers served, the times that it fell over and the requests that began above what it bears.
func (e *Engine) Counts() (served, overloads, overLimit int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served, e.overloads, e.overLimit
}

// Running returns the number of requests that run now.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// LastRequestStart returns the time at which the last request began.
func (e *Engine) LastRequestStart() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastBegan
}

func (e *Engine) enter(id string, w work) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downUntil) || e.digest == "" {
		return errors.New("the engine is not serving")
	}
	if e.running == nil {
		e.running = map[string]work{}
	}
	e.running[id] = w
	e.noteLoad()
	e.lastBegan = time.Now()
	if len(e.running) > e.bears() {
		e.overLimit++
	}
	if len(e.running) > overloadFactor*e.bears() {
		e.fallOver()
		return errFellOver
	}
	return nil
}

func (e *Engine) leave(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, id)
	e.noteLoad()
}

func (e *Engine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served++
	e.warmth++
}

// bears grows from the cold to the warm load with the answers given since the cold start.
func (e *Engine) bears() int {
	if e.warmth >= e.WarmUpRequests {
		return e.WarmCapacity
	}
	return e.ColdCapacity + (e.WarmCapacity-e.ColdCapacity)*e.warmth/e.WarmUpRequests
}

func (e *Engine) fallOver() {
	e.overloads++
	e.warmth = 0
	e.downUntil = time.Now().Add(e.DownTime)
	for _, w := range e.running {
		w.cancel(errFellOver)
	}
	e.cache.clear()
	clear(e.running)
	e.noteLoad()
}

// pause waits for a step of the batch, which takes longer the more requests of at least the same priority share it.
func (e *Engine) pause(ctx context.Context, step time.Duration, priority int32) error {
	e.mu.Lock()
	sharing := 0
	for _, w := range e.running {
		if w.priority >= priority {
			sharing++
		}
	}
	stretch := 1 + float64(sharing-1)/float64(max(e.bears(), 1))
	if len(e.running) > e.bears() {
		stretch *= float64(len(e.running)) / float64(max(e.bears(), 1))
	}
	e.mu.Unlock()
	if !railtimer.Sleep(ctx, time.Duration(float64(step)*stretch)) {
		return context.Cause(ctx)
	}
	return nil
}

func event(digest string, i int) []byte {
	return fmt.Appendf(nil, `{"weights":%q,"token":%q}`, digest, "t"+strconv.Itoa(i))
}

func tokensOf(body []byte) int {
	var req struct {
		MaxTokens int `json:"maxTokens"`
	}
	if json.Unmarshal(body, &req) != nil || req.MaxTokens <= 0 {
		return defaultTokens
	}
	return min(req.MaxTokens, maxTokens)
}
