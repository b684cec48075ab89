package railfleet

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/limit/railenginelatency"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// peerTTL is the time for which another entry's last load report is valid.
const peerTTL = 1500 * time.Millisecond

// peer is the load from another entry.
type peer struct {
	incarnation uint32
	lastSeen    time.Time
	// fullSequence is the sequence number of the last full digest.
	fullSequence uint64
	// loads holds the reported loads by endpoint hash. They are part of the fleet's peerLoads unless expired is set.
	loads   map[uint32]peerLoad
	expired bool
}

// peerLoad is the load at one endpoint, with the sequence number of the digest that reported it.
type peerLoad struct {
	load     railenginelatency.Load
	sequence uint64
}

// AllLoads returns this entry's load at all endpoints where it has requests in flight, and a sequence number that increases with
// each change.
func (f *Fleet) AllLoads() ([]*railproto.EndpointLoad, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*railproto.EndpointLoad
	for _, e := range f.endpoints {
		e.loadUnreported = false
		if e.ownLoad.Running > 0 {
			list = append(list, e.toProto())
		}
	}
	return list, f.sequence
}

// ChangedLoads returns this entry's load at the endpoints where it has changed since the last call of AllLoads or ChangedLoads,
// and the sequence number.
func (f *Fleet) ChangedLoads() ([]*railproto.EndpointLoad, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*railproto.EndpointLoad
	for _, e := range f.endpoints {
		if e.loadUnreported {
			e.loadUnreported = false
			list = append(list, e.toProto())
		}
	}
	return list, f.sequence
}

// LoadIncreased returns a channel that receives a value after a lease has been granted or a limit has changed.
func (f *Fleet) LoadIncreased() <-chan struct{} {
	f.once.Do(f.init)
	return f.loadIncreased
}

func (f *Fleet) init() {
	f.loadIncreased = make(chan struct{}, 1)
}

// signalIncrease lets the next digest be sent at once.
func (f *Fleet) signalIncrease() {
	f.once.Do(f.init)
	select {
	case f.loadIncreased <- struct{}{}:
	default:
	}
}

// markChanged records that this entry's load at an endpoint has changed.
func (f *Fleet) markChanged(e *endpoint) {
	e.loadUnreported = true
	f.sequence++
}

// MergeDigest merges a load digest from another entry. It returns false if the digest is outdated, or partial and without loads.
func (f *Fleet) MergeDigest(digest *railproto.LoadDigest) bool {
	limitsEnded := f.mergeLimits(digest.GetLimits())
	changed := f.merge(digest)
	if changed || limitsEnded {
		f.OnChange()
	}
	return changed
}

func (f *Fleet) merge(digest *railproto.LoadDigest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peer(digest)
	f.renew(p)
	return p.merge(digest, f.addPeerLoad)
}

// peer returns the state of the entry that sent a digest. A restarted entry starts with no load, since none of its earlier
// requests are in flight.
func (f *Fleet) peer(digest *railproto.LoadDigest) *peer {
	if f.peers == nil {
		f.peers, f.peerLoads = map[string]*peer{}, map[uint32]railenginelatency.Load{}
	}
	p := f.peers[digest.GetEntry()]
	if p == nil || p.incarnation != digest.GetIncarnation() {
		if p != nil {
			f.expire(p)
		}
		p = &peer{incarnation: digest.GetIncarnation(), loads: map[uint32]peerLoad{}}
		f.peers[digest.GetEntry()] = p
	}
	return p
}

// merge applies the loads that are not older than the known ones, since datagrams may arrive out of order, and calls add with what changes at
// each endpoint. It reports whether it applied any, or a full digest.
func (p *peer) merge(digest *railproto.LoadDigest, add func(hash uint32, change railenginelatency.Load)) bool {
	p.lastSeen = time.Now()
	sequence := digest.GetSequence()
	if sequence < p.fullSequence {
		return false
	}
	changed := false
	for _, l := range digest.GetLoads() {
		known := p.loads[l.GetEndpoint()]
		if sequence < known.sequence {
			continue
		}
		load := railenginelatency.Load{Running: int(l.GetRunning()), PendingPrefill: time.Duration(l.GetUnreadMillis()) * time.Millisecond}
		p.loads[l.GetEndpoint()] = peerLoad{load: load, sequence: sequence}
		add(l.GetEndpoint(), load.Sub(known.load))
		changed = true
	}
	if digest.GetPartial() {
		return changed
	}
	for hash, known := range p.loads {
		if known.sequence < sequence {
			delete(p.loads, hash)
			add(hash, railenginelatency.Load{}.Sub(known.load))
		}
	}
	p.fullSequence = sequence
	return true
}

// expirePeers drops the loads of entries that have not reported for peerTTL.
func (f *Fleet) expirePeers(now time.Time) {
	for _, p := range f.peers {
		if now.Sub(p.lastSeen) >= peerTTL {
			f.expire(p)
		}
	}
}

// expire takes an entry's loads out of the sum.
func (f *Fleet) expire(p *peer) {
	if p.expired {
		return
	}
	p.expired = true
	for hash, known := range p.loads {
		f.addPeerLoad(hash, railenginelatency.Load{}.Sub(known.load))
	}
}

// renew adds the last loads of an entry that reports again.
func (f *Fleet) renew(p *peer) {
	if !p.expired {
		return
	}
	p.expired = false
	for hash, known := range p.loads {
		f.addPeerLoad(hash, known.load)
	}
}

// addPeerLoad adds to the load at an endpoint from the other entries.
func (f *Fleet) addPeerLoad(hash uint32, change railenginelatency.Load) {
	sum := f.peerLoads[hash].Add(change)
	if sum == (railenginelatency.Load{}) {
		delete(f.peerLoads, hash)
		return
	}
	f.peerLoads[hash] = sum
}

// peersLoad returns the load at an endpoint from the other entries.
func (f *Fleet) peersLoad(hash uint32) railenginelatency.Load {
	return f.peerLoads[hash]
}

func (e *endpoint) toProto() *railproto.EndpointLoad {
	return &railproto.EndpointLoad{
		Endpoint: e.hash, Running: uint32(e.ownLoad.Running), UnreadMillis: uint32(e.ownLoad.PendingPrefill.Milliseconds()),
	}
}
