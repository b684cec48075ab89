package railregistry

import (
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/request/railcall"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	revocationTTL = time.Hour

	refused = railproto.FrameKind_FRAME_KIND_REFUSED
)

// Registry holds calls by request ID and by key, which is the name of the row that is claimed for a call. Its exported fields must
// be set before first use. It is safe for concurrent use.
type Registry struct {
	// MaxCalls and MaxBytes bound the number of ended calls that are kept and the size of their responses in bytes.
	MaxCalls int
	MaxBytes int

	mu         sync.Mutex
	byID       map[string]*railcall.Call
	byKey      map[string]*railcall.Call
	aliases    map[*railcall.Call][]string
	revoked    map[string]time.Time
	ended      []*railcall.Call
	endedBytes int
	running    int
	// lastEvictedStart is the latest start time of an evicted call. Calls that started up to then may be unknown.
	lastEvictedStart time.Time
}

// Begin registers a call. If there is already a call with the same request ID, or one with the same key that is running or may have
// run, Begin returns that call as existing instead. Both results are nil if the request ID is revoked.
func (r *Registry) Begin(c *railcall.Call) (begun, existing *railcall.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	if _, ok := r.revoked[c.RequestID]; ok {
		return nil, nil
	}
	if earlier := r.byID[c.RequestID]; earlier != nil {
		return nil, earlier
	}
	if earlier := r.byKey[c.Key]; c.Key != "" && earlier != nil && !neverRan(earlier) {
		return nil, earlier
	}
	c.StartedAt = time.Now()
	r.byID[c.RequestID] = c
	if c.Key != "" {
		r.byKey[c.Key] = c
	}
	r.running++
	return c, nil
}

// Alias makes an existing call known under the ID of another request that follows it.
func (r *Registry) Alias(requestID string, existing *railcall.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID[requestID] != nil || r.byID[existing.RequestID] != existing {
		return
	}
	r.byID[requestID] = existing
	r.aliases[existing] = append(r.aliases[existing], requestID)
}

// End records that a registered call has ended, and evicts the oldest ended calls beyond the bounds.
func (r *Registry) End(c *railcall.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.ended = append(r.ended, c)
	r.endedBytes += c.Size()
	for len(r.ended) > 0 && (len(r.ended) > r.MaxCalls || r.endedBytes > r.MaxBytes) {
		r.evict(r.ended[0])
		r.ended[0] = nil
		r.ended = r.ended[1:]
	}
}

// Find returns the call with the request ID, or else with the key, or nil.
func (r *Registry) Find(requestID, key string) *railcall.Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.find(requestID, key)
}

// Revoke ensures that a request that was first sent the given time ago never begins, and then reports true. If the request has
// begun, Revoke returns its call. If it may have begun and been evicted, Revoke returns nil and false.
func (r *Registry) Revoke(requestID, key string, age time.Duration) (existing *railcall.Call, revoked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	if c := r.find(requestID, key); c != nil {
		return c, false
	}
	now := time.Now()
	if !now.Add(-age).After(r.lastEvictedStart) {
		return nil, false
	}
	for id, revokedAt := range r.revoked {
		if now.Sub(revokedAt) > revocationTTL {
			delete(r.revoked, id)
		}
	}
	r.revoked[requestID] = now
	return nil, true
}

// Running returns the number of registered calls that have not ended.
func (r *Registry) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// Detached returns the running idempotent calls that have had no follower for at least minDetached.
func (r *Registry) Detached(now time.Time, minDetached time.Duration) []*railcall.Call {
	return r.unendedFunc(func(c *railcall.Call) bool { return c.Idempotent && c.DetachedFor(now) >= minDetached })
}

// Unended returns the calls that have no final frame yet.
func (r *Registry) Unended() []*railcall.Call {
	return r.unendedFunc(func(*railcall.Call) bool { return true })
}

// unendedFunc returns the matching calls that have no final frame yet. A call with aliases may come more than once.
func (r *Registry) unendedFunc(match func(*railcall.Call) bool) []*railcall.Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	var calls []*railcall.Call
	for _, c := range r.byID {
		if !c.Done() && match(c) {
			calls = append(calls, c)
		}
	}
	return calls
}

func (r *Registry) init() {
	if r.byID == nil {
		r.byID = map[string]*railcall.Call{}
		r.byKey = map[string]*railcall.Call{}
		r.aliases = map[*railcall.Call][]string{}
		r.revoked = map[string]time.Time{}
	}
}

func (r *Registry) find(requestID, key string) *railcall.Call {
	if c := r.byID[requestID]; c != nil {
		return c
	}
	if key == "" {
		return nil
	}
	return r.byKey[key]
}

func (r *Registry) evict(c *railcall.Call) {
	delete(r.byID, c.RequestID)
	for _, alias := range r.aliases[c] {
		delete(r.byID, alias)
	}
	delete(r.aliases, c)
	if r.byKey[c.Key] == c {
		delete(r.byKey, c.Key)
	}
	r.endedBytes -= c.Size()
	if c.StartedAt.After(r.lastEvictedStart) {
		r.lastEvictedStart = c.StartedAt
	}
}

// BlocksKey reports whether a call prevents another call with the same key, because it is running or may have run.
func BlocksKey(c *railcall.Call) bool {
	return !neverRan(c)
}

// neverRan reports whether a call has ended without running, so that its key is free.
func neverRan(c *railcall.Call) bool {
	f := c.FinalFrame()
	return f != nil && f.GetKind() == refused && !f.GetMayHaveRun()
}
