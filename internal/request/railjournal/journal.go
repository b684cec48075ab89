package railjournal

import (
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/request/railcall"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	revokedFor = time.Hour

	refused = railproto.FrameKind_FRAME_KIND_REFUSED
)

// Registry holds calls by request id and by caller's key; its fields are set before its first use.
type Registry struct {
	// MaxCalls and MaxBytes bound the ended calls that are kept.
	MaxCalls int
	MaxBytes int

	mu      sync.Mutex
	byID    map[string]*railcall.Call
	byKey   map[string]*railcall.Call
	aliases map[*railcall.Call][]string
	revoked map[string]time.Time
	ended   []*railcall.Call
	bytes   int
	running int
	// horizon is the time before which a begun call may have been forgotten.
	horizon time.Time
}

// Begin enters a call, or returns the one that stands under its request id or key; both are nil when the id is revoked.
func (j *Registry) Begin(c *railcall.Call) (begun, standing *railcall.Call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.init()
	if _, ok := j.revoked[c.RequestID]; ok {
		return nil, nil
	}
	if earlier := j.byID[c.RequestID]; earlier != nil {
		return nil, earlier
	}
	if earlier := j.byKey[c.Key]; c.Key != "" && earlier != nil && !neverRan(earlier) {
		return nil, earlier
	}
	c.StartedAt = time.Now()
	j.byID[c.RequestID] = c
	if c.Key != "" {
		j.byKey[c.Key] = c
	}
	j.running++
	return c, nil
}

// Alias lets a request that follows a standing call be found under its own id.
func (j *Registry) Alias(requestID string, standing *railcall.Call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.byID[requestID] != nil || j.byID[standing.RequestID] != standing {
		return
	}
	j.byID[requestID] = standing
	j.aliases[standing] = append(j.aliases[standing], requestID)
}

// End notes that a begun call has ended and forgets the oldest ended calls above the bounds.
func (j *Registry) End(c *railcall.Call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.running--
	j.ended = append(j.ended, c)
	j.bytes += c.Size()
	for len(j.ended) > 0 && (len(j.ended) > j.MaxCalls || j.bytes > j.MaxBytes) {
		j.forget(j.ended[0])
		j.ended[0] = nil
		j.ended = j.ended[1:]
	}
}

// Find returns the call under a request id or a key, or nil.
func (j *Registry) Find(requestID, key string) *railcall.Call {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.find(requestID, key)
}

// Revoke makes sure that a request first sent the given time ago never begins later; it returns the call when it has
// begun, and reports false when it may have begun and been forgotten.
func (j *Registry) Revoke(requestID, key string, age time.Duration) (standing *railcall.Call, never bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.init()
	if c := j.find(requestID, key); c != nil {
		return c, false
	}
	now := time.Now()
	if !now.Add(-age).After(j.horizon) {
		return nil, false
	}
	for id, at := range j.revoked {
		if now.Sub(at) > revokedFor {
			delete(j.revoked, id)
		}
	}
	j.revoked[requestID] = now
	return nil, true
}

// Running returns the number of calls that have begun and not ended.
func (j *Registry) Running() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.running
}

// Detached returns the running idempotent calls that nobody has followed for the given time.
func (j *Registry) Detached(now time.Time, after time.Duration) []*railcall.Call {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []*railcall.Call
	for _, c := range j.byID {
		if c.Idempotent && !c.Done() && c.DetachedFor(now) >= after {
			list = append(list, c)
		}
	}
	return list
}

func (j *Registry) init() {
	if j.byID == nil {
		j.byID = map[string]*railcall.Call{}
		j.byKey = map[string]*railcall.Call{}
		j.aliases = map[*railcall.Call][]string{}
		j.revoked = map[string]time.Time{}
	}
}

func (j *Registry) find(requestID, key string) *railcall.Call {
	if c := j.byID[requestID]; c != nil {
		return c
	}
	if key == "" {
		return nil
	}
	return j.byKey[key]
}

func (j *Registry) forget(c *railcall.Call) {
	delete(j.byID, c.RequestID)
	for _, alias := range j.aliases[c] {
		delete(j.byID, alias)
	}
	delete(j.aliases, c)
	if j.byKey[c.Key] == c {
		delete(j.byKey, c.Key)
	}
	j.bytes -= c.Size()
	if c.StartedAt.After(j.horizon) {
		j.horizon = c.StartedAt
	}
}

// BlocksKey reports whether a call stands in the way of another one under its key: it runs, or it may have run.
func BlocksKey(c *railcall.Call) bool {
	return !neverRan(c)
}

// neverRan reports whether a call has ended without running, so that its key is free again.
func neverRan(c *railcall.Call) bool {
	f := c.FinalFrame()
	return f != nil && f.GetKind() == refused && !f.GetMayHaveRun()
}
