package railengine

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	eventCached  = "kept"
	eventEvicted = "evicted"
)

// CacheEvent is a change of the prefix cache. A gap in the sequence numbers means that events were lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Prefix   string `json:"prefix"`

	at time.Time
}

// prefixCache is an LRU cache of prompt prefixes, with the events about its changes. The least recently used prefix is first.
type prefixCache struct {
	prefixes []string
	events   []CacheEvent
	sequence uint64
	hits     int
}

// CacheEvents returns the events after a sequence number that were published by now, without the lost ones.
func (e *Engine) CacheEvents(after uint64) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	publishedUntil := time.Now().Add(-e.EventLag)
	var events []CacheEvent
	for _, event := range e.cache.events {
		lost := e.EventLossInterval > 0 && event.Sequence%uint64(e.EventLossInterval) == 0
		if event.Sequence > after && !lost && !event.at.After(publishedUntil) {
			events = append(events, event)
		}
	}
	return events
}

// ExportKV returns the KV cache of a cached prefix. It returns an error if the prefix is not cached.
func (e *Engine) ExportKV(prefix string) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.cache.prefixes, prefix) {
		return nil, errors.Newf("the prefix %q is not cached", prefix)
	}
	return []byte(e.digest + "/" + prefix), nil
}

// ImportKV adds a prefix with the KV cache that another engine exported. It returns an error if the KV cache belongs to a different
// prefix or different weights.
func (e *Engine) ImportKV(prefix string, exported []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if string(exported) != e.digest+"/"+prefix {
		return errors.New("the KV cache belongs to a different prefix or different weights")
	}
	e.cache.access(prefix, e.PrefixCacheSize)
	return nil
}

// PrefixHits returns the number of requests whose prefix was cached.
func (e *Engine) PrefixHits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.hits
}

// firstTokenDelay returns the time to first token of a single request, which is shorter on a prefix cache hit.
func (e *Engine) firstTokenDelay(body []byte) time.Duration {
	if e.PrefixCacheSize == 0 {
		return e.FirstToken
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cache.access(string(body[:min(len(body), prefixBytes)]), e.PrefixCacheSize) {
		e.cache.hits++
		return time.Duration(e.CacheHitFactor * float64(e.FirstToken))
	}
	return e.FirstToken
}

// access makes a prefix the most recently used one and reports whether it was cached before.
func (c *prefixCache) access(prefix string, capacity int) bool {
	if index := slices.Index(c.prefixes, prefix); index >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, index, index+1), prefix)
		return true
	}
	c.prefixes = append(c.prefixes, prefix)
	c.recordEvent(eventCached, prefix)
	for len(c.prefixes) > capacity {
		c.recordEvent(eventEvicted, c.prefixes[0])
		c.prefixes = c.prefixes[1:]
	}
	return false
}

func (c *prefixCache) clear() {
	for _, prefix := range c.prefixes {
		c.recordEvent(eventEvicted, prefix)
	}
	c.prefixes = nil
}

func (c *prefixCache) recordEvent(kind, prefix string) {
	c.sequence++
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Kind: kind, Prefix: prefix, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}
