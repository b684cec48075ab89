package railentries

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
)

// unlistedTTL is the time after an entry was last seen for which it belongs to the set although it is not listed.
const unlistedTTL = 30 * time.Second

// Entries is the set of known entries. It is safe for concurrent use; its exported fields must be set before its first use.
type Entries struct {
	// Self is the name of this entry, which is always part of the set.
	Self string
	Log  *slog.Logger

	mu     sync.Mutex
	loaded bool
	listed []railmember.Member
	// unlistedSeen holds the time at which each entry that is not listed was last seen, by name.
	unlistedSeen map[string]time.Time
	// names holds the sorted names of all known entries; shares caches this entry's share by endpoint and total.
	names  []string
	shares map[shareKey]int
}

// shareKey identifies a total that an endpoint accepts from all entries together.
type shareKey struct {
	endpoint string
	total    int
}

// SetMembers replaces the list of entries.
func (e *Entries) SetMembers(members []railmember.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loaded, e.listed = true, members
	e.rebuild()
}

// MarkSeen records that an entry is alive, and adds it to the set if it is not listed: this process may read a new list later than
// others.
func (e *Entries) MarkSeen(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isListed(name) {
		return
	}
	if e.unlistedSeen == nil {
		e.unlistedSeen = map[string]time.Time{}
	}
	_, seen := e.unlistedSeen[name]
	e.unlistedSeen[name] = time.Now()
	if !seen {
		e.Log.Info("entry is heard of that is not listed", "entry", name)
		e.rebuild()
	}
}

// Members returns the listed entries, or false while the list has not been read.
func (e *Entries) Members() ([]railmember.Member, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listed, e.loaded
}

// Share returns this entry's share of a total that an endpoint accepts from all entries together. The shares of all entries
// that know of each other add up to the total. The share is 0 until the list has been read.
func (e *Entries) Share(endpoint string, total int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.loaded {
		return 0
	}
	e.expire()
	key := shareKey{endpoint: endpoint, total: total}
	share, ok := e.shares[key]
	if !ok {
		share = e.computeShare(key)
		e.shares[key] = share
	}
	return share
}

// Holders returns the names of the other entries that have a share of a total.
func (e *Entries) Holders(endpoint string, total int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.loaded {
		return nil
	}
	e.expire()
	holders := e.names
	if total < len(e.names) {
		byName := railhash.Ranking[string]{Name: func(name string) string { return name }}
		holders = byName.Top(endpoint, e.names, total)
	}
	return slices.DeleteFunc(slices.Clone(holders), func(name string) bool { return name == e.Self })
}

// computeShare divides the total evenly; the remainder goes to the entries that rank first for the endpoint.
func (e *Entries) computeShare(key shareKey) int {
	base, remainder := key.total/len(e.names), key.total%len(e.names)
	ownScore, rank := railhash.Score(key.endpoint, e.Self), 0
	for _, name := range e.names {
		if score := railhash.Score(key.endpoint, name); score > ownScore || score == ownScore && name < e.Self {
			rank++
		}
	}
	if rank < remainder {
		return base + 1
	}
	return base
}

// expire removes unlisted entries that have not been seen for unlistedTTL.
func (e *Entries) expire() {
	now, dropped := time.Now(), false
	for name, lastSeen := range e.unlistedSeen {
		if now.Sub(lastSeen) > unlistedTTL {
			delete(e.unlistedSeen, name)
			dropped = true
		}
	}
	if dropped {
		e.rebuild()
	}
}

// rebuild recomputes the names from the listed and recently seen entries and discards the cached shares.
func (e *Entries) rebuild() {
	names := []string{e.Self}
	for _, m := range e.listed {
		delete(e.unlistedSeen, m.Name)
		names = append(names, m.Name)
	}
	for name := range e.unlistedSeen {
		names = append(names, name)
	}
	slices.Sort(names)
	e.names, e.shares = slices.Compact(names), map[shareKey]int{}
}

func (e *Entries) isListed(name string) bool {
	return name == e.Self || slices.ContainsFunc(e.listed, func(m railmember.Member) bool { return m.Name == name })
}
