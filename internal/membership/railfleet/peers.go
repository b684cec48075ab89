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
	sequence uint64
	heard    time.Time
	loads    map[uint32]railpass.Load
}

// Digest returns what this entry has in flight, and a number that changes with it.
func (f *Fleet) Digest() ([]*railproto.EndpointLoad, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*railproto.EndpointLoad
	for _, e := range f.endpoints {
		if e.load.Running > 0 {
			list = append(list, &railproto.EndpointLoad{
				Endpoint: e.hash, Running: uint32(e.load.Running), UnreadMillis: uint32(e.load.Unread.Milliseconds()),
			})
		}
	}
	return list, f.sequence
}

// Absorb takes over what another entry has in flight, and reports whether that was news.
func (f *Fleet) Absorb(name string, sequence uint64, loads []*railproto.EndpointLoad) bool {
	f.mu.Lock()
	if f.peers == nil {
		f.peers = map[string]*peer{}
	}
	now := time.Now()
	if old := f.peers[name]; old != nil && old.sequence > sequence && now.Sub(old.heard) < peerFor {
		f.mu.Unlock()
		return false // Datagrams may overtake each other.
	}
	p := &peer{sequence: sequence, heard: now, loads: make(map[uint32]railpass.Load, len(loads))}
	for _, l := range loads {
		p.loads[l.GetEndpoint()] = railpass.Load{
			Running: int(l.GetRunning()), Unread: time.Duration(l.GetUnreadMillis()) * time.Millisecond,
		}
	}
	f.peers[name] = p
	f.mu.Unlock()
	f.Changed()
	return true
}

// elsewhere returns the load of an endpoint that comes from the other entries.
func (f *Fleet) elsewhere(hash uint32) railpass.Load {
	var sum railpass.Load
	now := time.Now()
	for _, p := range f.peers {
		if now.Sub(p.heard) < peerFor {
			sum = sum.With(p.loads[hash])
		}
	}
	return sum
}
