package railentries

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
)

// heardFor is the time for which an entry counts that is not listed and was heard of.
const heardFor = 30 * time.Second

// Entries is safe for concurrent use; its fields are set before its first use.
type Entries struct {
	// Self is the name of this entry, which always counts.
	Self string
	Log  *slog.Logger

	mu     sync.Mutex
	known  bool
	listed []railmember.Member
	// heard holds when entries that are not listed were last heard of.
	heard map[string]time.Time
	// names holds the names of all that count, and shares what this entry may use of a total at an endpoint.
	names  []string
	shares map[part]int
}

// part is a total that an endpoint bears from all entries.
type part struct {
	endpoint string
	total    int
}

// SetMembers takes over the list of entries.
func (e *Entries) SetMembers(members []railmember.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known, e.listed = true, members
	e.count()
}

// MarkSeen notes that an entry is alive, which may be listed later or at other processes only.
func (e *Entries) MarkSeen(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lists(name) {
		return
	}
	if e.heard == nil {
		e.heard = map[string]time.Time{}
	}
	_, old := e.heard[name]
	e.heard[name] = time.Now()
	if !old {
		e.Log.Info("entry is heard of that is not listed", "entry", name)
		e.count()
	}
}

// Members returns the listed entries, or false while the list has not been read.
func (e *Entries) Members() ([]railmember.Member, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listed, e.known
}

// Share returns the part that this entry may use of a total that an endpoint bears from all entries. The parts of all entries
// that know of each other add up to the total; an entry that does not know the others yet has none.
func (e *Entries) Share(endpoint string, total int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known {
		return 0
	}
	e.expire()
	p := part{endpoint: endpoint, total: total}
	share, ok := e.shares[p]
	if !ok {
		share = e.divide(p)
		e.shares[p] = share
	}
	return share
}

// divide gives each entry the same part, and what is left to those that rank first for the endpoint.
func (e *Entries) divide(p part) int {
	each, left := p.total/len(e.names), p.total%len(e.names)
	own, before := railhash.Score(p.endpoint, e.Self), 0
	for _, name := range e.names {
		if score := railhash.Score(p.endpoint, name); score > own || score == own && name < e.Self {
			before++
		}
	}
	if before < left {
		return each + 1
	}
	return each
}

// expire drops entries that were last heard of long ago.
func (e *Entries) expire() {
	now, dropped := time.Now(), false
	for name, at := range e.heard {
		if now.Sub(at) > heardFor {
			delete(e.heard, name)
			dropped = true
		}
	}
	if dropped {
		e.count()
	}
}

// count takes over who counts now.
func (e *Entries) count() {
	names := []string{e.Self}
	for _, m := range e.listed {
		delete(e.heard, m.Name)
		names = append(names, m.Name)
	}
	for name := range e.heard {
		names = append(names, name)
	}
	slices.Sort(names)
	e.names, e.shares = slices.Compact(names), map[part]int{}
}

func (e *Entries) lists(name string) bool {
	return name == e.Self || slices.ContainsFunc(e.listed, func(m railmember.Member) bool { return m.Name == name })
}
