package railfleet

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/limit/railpass"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// peerFor is the time for which another entry's last word about its load counts.
const peerFor = 1500 * time.Millisecond

// peer is what another entry has in flight.
type peer struct {
	incarnation uint32
	heard       time.Time
	// whole is the sequence of the last digest that told of all endpoints.
	whole uint64
	loads map[uint32]told
}

// told is what was told of one endpoint.
type told struct {
	load     railpass.Load
	sequence uint64
}

// AllLoads returns what this entry has in flight, and a number that grows with each change of it.
func (f *Fleet) AllLoads() ([]*railproto.EndpointLoad, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*railproto.EndpointLoad
	for _, e := range f.endpoints {
		e.untold = false
		if e.load.Running > 0 {
			list = append(list, e.wireLoad())
		}
	}
	return list, f.sequence
}

// ChangedLoads returns what this entry has in flight at the endpoints at which that has changed since it was last asked for.
func (f *Fleet) ChangedLoads() ([]*railproto.EndpointLoad, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*railproto.EndpointLoad
	for _, e := range f.endpoints {
		if e.untold {
			e.untold = false
			list = append(list, e.wireLoad())
		}
	}
	return list, f.sequence
}

// LoadIncreased returns a channel that tells of requests that were sent.
func (f *Fleet) LoadIncreased() <-chan struct{} {
	f.once.Do(f.init)
	return f.news
}

func (f *Fleet) init() {
	f.news = make(chan struct{}, 1)
}

// tellOf notes that what is in flight at an endpoint has changed.
func (f *Fleet) tellOf(e *endpoint) {
	e.untold = true
	f.sequence++
}

// MergeDigest takes over what another entry has in flight, and reports whether that was news.
func (f *Fleet) MergeDigest(digest *railproto.LoadDigest) bool {
	f.mu.Lock()
	news := f.peer(digest).absorb(digest)
	f.mu.Unlock()
	if news {
		f.OnChange()
	}
	return news
}

// peer returns the entry that a digest is from; one that has started again has nothing of before in flight.
func (f *Fleet) peer(digest *railproto.LoadDigest) *peer {
	if f.peers == nil {
		f.peers = map[string]*peer{}
	}
	p := f.peers[digest.GetEntry()]
	if p == nil || p.incarnation != digest.GetIncarnation() {
		p = &peer{incarnation: digest.GetIncarnation(), loads: map[uint32]told{}}
		f.peers[digest.GetEntry()] = p
	}
	return p
}

// absorb takes over what is newer than what is known, since datagrams may overtake each other.
func (p *peer) absorb(digest *railproto.LoadDigest) bool {
	p.heard = time.Now()
	sequence := digest.GetSequence()
	if sequence < p.whole {
		return false
	}
	news := false
	for _, l := range digest.GetLoads() {
		if old := p.loads[l.GetEndpoint()]; sequence < old.sequence {
			continue
		}
		load := railpass.Load{Running: int(l.GetRunning()), PendingPrefill: time.Duration(l.GetUnreadMillis()) * time.Millisecond}
		p.loads[l.GetEndpoint()] = told{load: load, sequence: sequence}
		news = true
	}
	if digest.GetPartial() {
		return news
	}
	for endpoint, old := range p.loads {
		if old.sequence < sequence {
			delete(p.loads, endpoint)
		}
	}
	p.whole = sequence
	return true
}

// elsewhere returns the load of an endpoint that comes from the other entries.
func (f *Fleet) elsewhere(hash uint32) railpass.Load {
	var sum railpass.Load
	now := time.Now()
	for _, p := range f.peers {
		if now.Sub(p.heard) < peerFor {
			sum = sum.Add(p.loads[hash].load)
		}
	}
	return sum
}

func (e *endpoint) wireLoad() *railproto.EndpointLoad {
	return &railproto.EndpointLoad{
		Endpoint: e.hash, Running: uint32(e.load.Running), UnreadMillis: uint32(e.load.PendingPrefill.Milliseconds()),
	}
}
