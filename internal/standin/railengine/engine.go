package railengine

import (
	"bytes"
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
	defaultResponseTokens = 20
	maxResponseTokens     = 100_000
	// overloadFactor is the ratio of running requests to capacity above which the engine crashes.
	overloadFactor = 2
	prefixBytes    = 256
)

// Engine is an in-memory model engine. Its exported fields must be set before its first use; later changes go through its methods.
type Engine struct {
	// ColdCapacity and WarmCapacity are the numbers of concurrent requests that the engine can process after a cold start and when
	// it is warm. In between, the capacity grows linearly with the requests served.
	ColdCapacity, WarmCapacity int
	// WarmUpRequests is the number of requests that a cold engine must serve to become warm.
	WarmUpRequests int
	// FirstToken and BetweenTokens are the time to first token and the time between tokens for a single request. They grow with the
	// batch.
	FirstToken, BetweenTokens time.Duration
	// LoadTime is the time to load weights.
	LoadTime time.Duration
	// DownTime is the time that the engine is unavailable after a crash.
	DownTime time.Duration
	// PrefixCacheSize is the maximum number of prompt prefixes in the cache. On a cache hit, the time to first token is multiplied
	// by CacheHitFactor.
	PrefixCacheSize int
	CacheHitFactor  float64
	// EventLag is the delay before a cache event is published. Every EventLossInterval-th event is lost; 0 loses none.
	EventLag          time.Duration
	EventLossInterval int
	// LoadReportLag is the age of the reported load.
	LoadReportLag time.Duration
	// EndsOn is a text at which the engine crashes when it begins the response to a request whose body has it. If it is empty, no text does.
	EndsOn string
	// IgnoresFence makes the engine accept control requests with stale fencing tokens.
	IgnoresFence bool
	// Incarnation identifies the first start of the engine.
	Incarnation string

	mu              sync.Mutex
	chunks          map[string][]byte
	digest          string
	loading         bool
	fence           int64
	running         map[string]runningRequest
	cache           prefixCache
	loadSamples     []loadSample
	adapters        []string
	role            string
	servedSinceCold int
	downUntil       time.Time
	overloads       int
	crashes         int
	served          int
	overLimit       int
	requestStarts   []time.Time
	streams         map[string]*railcall.Call
	streamsToBreak  int
	selfReport      selfReport
}

// runningRequest is a request in progress.
type runningRequest struct {
	cancel   context.CancelCauseFunc
	priority int32
}

var (
	errCanceled = errors.New("the request was canceled")
	errCrashed  = errors.New("the engine crashed")
	errDown     = errors.New("the engine is down after a crash")
)

// Run generates the response to a request. It returns railendpoint.ErrMixedWeights if the weights change in the meantime.
func (e *Engine) Run(ctx context.Context, req *railproto.ExecuteRequest, emit func(*railproto.Frame)) (railverdict.Verdict, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := e.admit(req.GetRequestId(), runningRequest{cancel: cancel, priority: req.GetPriority()}); err != nil {
		return railverdict.NotRun, err
	}
	defer e.release(req.GetRequestId())
	tokens := responseTokens(req.GetBody())
	digest := e.Digest()
	if err := e.waitForStep(ctx, e.firstTokenDelay(req.GetBody()), req.GetPriority()); err != nil {
		return railverdict.MayHaveRun, err
	}
	if e.EndsOn != "" && bytes.Contains(req.GetBody(), []byte(e.EndsOn)) {
		e.mu.Lock()
		e.crash()
		e.mu.Unlock()
		return railverdict.MayHaveRun, context.Cause(ctx)
	}
	for i := range tokens {
		if i > 0 {
			if err := e.waitForStep(ctx, e.BetweenTokens, req.GetPriority()); err != nil {
				return railverdict.MayHaveRun, err
			}
		}
		if now := e.Digest(); now != digest {
			return railverdict.MayHaveRun, railendpoint.ErrMixedWeights
		}
		emit(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_DATA, Data: tokenEvent(digest, i), WeightsDigest: digest})
	}
	e.recordServed()
	emit(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_END, Count: uint64(tokens), Status: 200, ContentType: "text/event-stream", WeightsDigest: digest})
	return railverdict.Ran, nil
}

// LoadedWeights returns the digest of the weights in service and the engine's incarnation, which changes with each crash.
func (e *Engine) LoadedWeights(context.Context) (digest, incarnation string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downUntil) {
		return "", "", errDown
	}
	return e.digest, e.incarnation(), nil
}

// LoadWeights loads the weights of a manifest and serves them after LoadTime. The digest in service is computed from the stored
// chunks, so that it reveals corrupted ones. It returns railendpoint.ErrStaleFence for a stale fencing token.
func (e *Engine) LoadWeights(ctx context.Context, content []byte, fence int64) error {
	e.mu.Lock()
	if err := e.acceptFence(fence); err != nil {
		e.mu.Unlock()
		return err
	}
	var m railmanifest.Manifest
	if err := json.Unmarshal(content, &m); err != nil {
		e.mu.Unlock()
		return errors.Wrap(err, "decode the manifest")
	}
	stored := railmanifest.Manifest{Version: m.Version, Size: m.Size, ChunkSize: m.ChunkSize}
	for i, digest := range m.Chunks {
		data, ok := e.chunks[digest]
		if !ok {
			e.mu.Unlock()
			return errors.Newf("chunk %d of %s is missing", i, m.Version)
		}
		stored.Chunks = append(stored.Chunks, railmanifest.Sum(data))
	}
	e.digest = ""
	e.loading = true
	loadTime := e.LoadTime
	e.mu.Unlock()
	railtimer.Sleep(ctx, loadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = false
	e.digest = stored.Digest()
	e.servedSinceCold = 0
	return nil
}

// Chunks returns the digests of the stored chunks.
func (e *Engine) Chunks(context.Context) ([]string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.chunks)), nil
}

// PutChunk stores a chunk under a digest, without verifying it.
func (e *Engine) PutChunk(_ context.Context, digest string, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.chunks == nil {
		e.chunks = map[string][]byte{}
	}
	e.chunks[digest] = slices.Clone(data)
	return nil
}

// Chunk returns a stored chunk.
func (e *Engine) Chunk(_ context.Context, digest string) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, ok := e.chunks[digest]
	if !ok {
		return nil, errors.Newf("the engine has no chunk %s", digest)
	}
	return data, nil
}

// Keep deletes all chunks except the given ones.
func (e *Engine) Keep(_ context.Context, digests []string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.chunks, func(digest string, _ []byte) bool { return !slices.Contains(digests, digest) })
	return nil
}

// Cancel cancels a running request.
func (e *Engine) Cancel(requestID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := e.running[requestID]; ok {
		r.cancel(errCanceled)
	}
}

// ResetWarmUp makes the engine cold without any notification.
func (e *Engine) ResetWarmUp() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.servedSinceCold = 0
}

// SetLoadTime changes the time that later loads of weights take.
func (e *Engine) SetLoadTime(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.LoadTime = d
}

// Digest returns the digest of the weights in service.
func (e *Engine) Digest() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.digest
}

// Counts returns the numbers of requests served, of crashes under overload, and of requests started above the capacity.
func (e *Engine) Counts() (served, overloads, overLimit int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served, e.overloads, e.overLimit
}

// Crashes returns the number of crashes.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Running returns the number of running requests.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// LastRequestStart returns the start time of the most recent request.
func (e *Engine) LastRequestStart() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.requestStarts) == 0 {
		return time.Time{}
	}
	return e.requestStarts[len(e.requestStarts)-1]
}

// RequestStarts returns the start times of the most recent requests, in order.
func (e *Engine) RequestStarts() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.requestStarts)
}

// admit adds a request to the batch. It returns an error if the engine is not serving, or if this request makes it crash.
func (e *Engine) admit(id string, r runningRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downUntil) || e.digest == "" {
		return errors.New("the engine is not serving")
	}
	if e.running == nil {
		e.running = map[string]runningRequest{}
	}
	e.running[id] = r
	e.recordLoad()
	e.recordStart()
	if len(e.running) > e.capacity() {
		e.overLimit++
	}
	if len(e.running) > overloadFactor*e.capacity() {
		e.overloads++
		e.crash()
		return errDown
	}
	return nil
}

func (e *Engine) release(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, id)
	e.recordLoad()
}

func (e *Engine) recordServed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served++
	e.servedSinceCold++
}

// capacity returns the current capacity, which grows linearly from ColdCapacity to WarmCapacity with the requests served since the
// cold start.
func (e *Engine) capacity() int {
	if e.servedSinceCold >= e.WarmUpRequests {
		return e.WarmCapacity
	}
	return e.ColdCapacity + (e.WarmCapacity-e.ColdCapacity)*e.servedSinceCold/e.WarmUpRequests
}

// crash cancels all running requests, clears the prefix cache and makes the engine unavailable for DownTime.
func (e *Engine) crash() {
	ended := &railendpoint.EndedError{Incarnation: e.incarnation(), Cause: errCrashed}
	e.crashes++
	e.servedSinceCold = 0
	e.downUntil = time.Now().Add(e.DownTime)
	for _, r := range e.running {
		r.cancel(ended)
	}
	e.cache.clear()
	clear(e.running)
	e.recordLoad()
}

// incarnation returns the identifier of this start of the engine.
func (e *Engine) incarnation() string {
	if e.crashes == 0 {
		return e.Incarnation
	}
	return e.Incarnation + "." + strconv.Itoa(e.crashes)
}

// waitForStep waits for a step of the batch. The step is slower the more requests of at least the same priority are in the batch.
func (e *Engine) waitForStep(ctx context.Context, step time.Duration, priority int32) error {
	e.mu.Lock()
	sameOrHigher := 0
	for _, r := range e.running {
		if r.priority >= priority {
			sameOrHigher++
		}
	}
	slowdown := 1 + float64(sameOrHigher-1)/float64(max(e.capacity(), 1))
	if len(e.running) > e.capacity() {
		slowdown *= float64(len(e.running)) / float64(max(e.capacity(), 1))
	}
	e.mu.Unlock()
	if !railtimer.Sleep(ctx, time.Duration(float64(step)*slowdown)) {
		return context.Cause(ctx)
	}
	return nil
}

func tokenEvent(digest string, i int) []byte {
	return fmt.Appendf(nil, `{"weights":%q,"token":%q}`, digest, "t"+strconv.Itoa(i))
}

// responseTokens returns the number of tokens to generate for a request.
func responseTokens(body []byte) int {
	var req struct {
		MaxTokens int `json:"maxTokens"`
	}
	if json.Unmarshal(body, &req) != nil || req.MaxTokens <= 0 {
		return defaultResponseTokens
	}
	return min(req.MaxTokens, maxResponseTokens)
}
