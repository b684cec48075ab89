package railengine

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	eventKept    = "kept"
	eventEvicted = "evicted"
)

// CacheEvent is a change of the kept prefixes; a gap in the sequence shows that events were lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Prefix   string `json:"prefix"`

	at time.Time
}

// cache holds the kept prefixes, the least lately used first, and the events about them.
type cache struct {
	prefixes []string
	events   []CacheEvent
	sequence uint64
	hits     int
}

// CacheEvents returns the published events after a sequence number: late, and without the lost ones.
func (e *Engine) CacheEvents(after uint64) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	published := time.Now().Add(-e.EventLag)
	var events []CacheEvent
	for _, event := range e.cache.events {
		lost := e.EventLossInterval > 0 && event.Sequence%uint64(e.EventLossInterval) == 0
		if event.Sequence > after && !lost && !event.at.After(published) {
			events = append(events, event)
		}
	}
	return events
}

// ExportKV returns the cache of a kept prefix, or an error.
func (e *Engine) ExportKV(prefix string) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.cache.prefixes, prefix) {
		return nil, errors.Newf("the prefix %q is not kept", prefix)
	}
	return []byte(e.digest + "/" + prefix), nil
}

// ImportKV keeps a prefix by the cache that another engine exported, or returns an error for one of other weights.
func (e *Engine) ImportKV(prefix string, exported []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if string(exported) != e.digest+"/"+prefix {
		return errors.New("the cache is of another prefix or of other weights")
	}
	e.cache.use(prefix, e.PrefixCacheSize)
	return nil
}

// PrefixHits returns the number of requests whose prefix was kept.
func (e *Engine) PrefixHits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.hits
}

// firstToken returns the time to the first token alone, which is shorter when the prompt's prefix is kept.
func (e *Engine) firstToken(body []byte) time.Duration {
	if e.PrefixCacheSize == 0 {
		return e.FirstToken
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cache.use(string(body[:min(len(body), prefixBytes)]), e.PrefixCacheSize) {
		e.cache.hits++
		return time.Duration(e.CacheHitFactor * float64(e.FirstToken))
	}
	return e.FirstToken
}

// use keeps a prefix as the latest one and reports whether it was kept before.
func (c *cache) use(prefix string, capacity int) bool {
	if at := slices.Index(c.prefixes, prefix); at >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, at, at+1), prefix)
		return true
	}
	c.prefixes = append(c.prefixes, prefix)
	c.note(eventKept, prefix)
	for len(c.prefixes) > capacity {
		c.note(eventEvicted, c.prefixes[0])
		c.prefixes = c.prefixes[1:]
	}
	return false
}

func (c *cache) clear() {
	for _, prefix := range c.prefixes {
		c.note(eventEvicted, prefix)
	}
	c.prefixes = nil
}

func (c *cache) note(kind, prefix string) {
	c.sequence++
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Kind: kind, Prefix: prefix, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}
