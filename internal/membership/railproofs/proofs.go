package railproofs

import (
	"log/slog"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railproof"
)

// unlistedTTL is the time for which a proof is kept after its engine has left the list, since it may be listed again.
const unlistedTTL = 10 * time.Minute

// Proofs is the set of proofs that an entry knows, by the engines' addresses. It is safe for concurrent use; its exported fields must be set before
// its first use.
type Proofs struct {
	// OnChange is called with the version of the weights that an engine may serve, or 0 for none, when that changes. It must not call back.
	OnChange func(address string, version int64)
	Log      *slog.Logger

	mu     sync.Mutex
	known  map[string]*entry
	listed map[string]railinstance.Instance
	// ended holds the last start of each engine that the list has replaced by one that seems earlier, since the engine's clock was set back.
	ended map[string]int64
}

// entry is what is known of one engine.
type entry struct {
	proof railproof.Proof
	// listedStart is the start that the list showed when this start of the engine became known, or 0 for none. The list may lag behind.
	listedStart int64
	// doubted is set while the proof has to be confirmed before it counts.
	doubted bool
	// unlistedSince is the time at which the engine left the list, or zero if it is listed.
	unlistedSince time.Time
}

// version returns the version that the engine may serve, or 0.
func (e *entry) version() int64 {
	if e == nil || e.doubted {
		return 0
	}
	return e.proof.Version
}

// Apply records a statement of the carrier beside an engine, or of the engine. It returns false if a later one is known.
func (p *Proofs) Apply(s railproof.Proof) bool {
	return p.record(s, p.apply)
}

// ApplyReport records what another entry knows of an engine. It returns false if something later is known. The other entry may have missed later
// statements, so that what it knows counts only once the carrier or the engine has confirmed the start and the order.
func (p *Proofs) ApplyReport(s railproof.Proof) bool {
	return p.record(s, p.applyReport)
}

// record applies a statement and tells of a changed version.
func (p *Proofs) record(s railproof.Proof, apply func(railproof.Proof) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.known[s.Address].version()
	if !apply(s) {
		return false
	}
	if version := p.known[s.Address].version(); version != before {
		p.Log.Info("weights of an endpoint", "address", s.Address, "start", s.StartMillis, "sequence", s.Sequence, "before", before, "proven", version)
		p.OnChange(s.Address, version)
	}
	return true
}

// applyReport records what another entry knows unless something later is known. The lock is held.
func (p *Proofs) applyReport(s railproof.Proof) bool {
	e := p.known[s.Address]
	inDoubt := e == nil || e.doubted || !e.proof.SameStart(s.StartMillis) || s.Sequence > e.proof.Sequence
	if !p.apply(s) {
		return false
	}
	p.known[s.Address].doubted = inDoubt
	return true
}

// apply records a statement unless a later one is known. The lock is held.
func (p *Proofs) apply(s railproof.Proof) bool {
	e := p.known[s.Address]
	switch {
	case e == nil || !e.proof.SameStart(s.StartMillis):
		if p.endedByList(s) || e != nil && !p.replacesStart(s, e) {
			return false
		}
		if p.known == nil {
			p.known = map[string]*entry{}
		}
		p.known[s.Address] = &entry{proof: s, listedStart: p.listed[s.Address].StartMillis}
	case s.Sequence < e.proof.Sequence:
		return false
	case s.Sequence > e.proof.Sequence:
		e.proof, e.doubted = s, false
	default:
		e.doubted = false
		if s.Version > 0 {
			e.proof = s
		}
	}
	return true
}

// replacesStart reports whether a statement is about a later start of an engine than what is known. Starts are times of the engine's clock, which
// may have been set back: then the list decides, once it shows another start than it did when the known one began.
func (p *Proofs) replacesStart(s railproof.Proof, e *entry) bool {
	return s.StartMillis > e.proof.StartMillis || p.listed[s.Address].StartMillis == s.StartMillis && s.StartMillis != e.listedStart
}

// endedByList reports whether the list shows a later start of an engine than a statement is about, or has replaced that start. If the engine's clock
// has been set back, its statements count once the list has changed.
func (p *Proofs) endedByList(s railproof.Proof) bool {
	return s.StartMillis > 0 && (p.listed[s.Address].StartMillis > s.StartMillis || p.ended[s.Address] == s.StartMillis)
}

// Get returns what is known of the engine at an address, and whether anything is.
func (p *Proofs) Get(address string) (railproof.Proof, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.known[address]
	if e == nil {
		return railproof.Proof{}, false
	}
	s := e.proof
	s.Version = e.version()
	return s, true
}

// OrderKnown reports whether it is known, without doubt, which of its orders an engine has executed last, if it was given any.
func (p *Proofs) OrderKnown(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.known[address]
	return e != nil && !e.doubted && e.proof.Sequence > 0
}

// SetInstances replaces the list of engines. It drops what is known of engines that the list shows to have started again.
func (p *Proofs) SetInstances(list []railinstance.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, before := time.Now(), p.listed
	p.listed = make(map[string]railinstance.Instance, len(list))
	for _, i := range list {
		if other, ok := p.listed[i.Address]; !ok || i.RowVersion > other.RowVersion {
			p.listed[i.Address] = i
		}
	}
	for address, start := range p.ended {
		if p.listed[address].StartMillis == start {
			delete(p.ended, address) // The list was behind for a moment, as after a restore of the store.
		}
	}
	for address, e := range p.known {
		i, ok := p.listed[address]
		switch {
		case ok && e.listedStart == 0 && i.StartMillis < e.proof.StartMillis:
			e.listedStart, e.unlistedSince = i.StartMillis, time.Time{} // The row of an earlier start.
		case ok && !e.proof.SameStart(i.StartMillis) && i.StartMillis != e.listedStart:
			p.Log.Info("endpoint has started again; its weights are not proven", "address", address, "start", i.StartMillis, "before", e.proof.StartMillis)
			p.recordEnd(e.proof, before[address].StartMillis, i.StartMillis)
			p.drop(address)
		case ok:
			e.unlistedSince = time.Time{}
		case e.unlistedSince.IsZero():
			e.unlistedSince = now
		case now.Sub(e.unlistedSince) > unlistedTTL:
			p.drop(address)
		}
	}
}

// recordEnd records that the list shows another start of an engine than it did when it agreed with a proof, if that seems to be an earlier one. The lock
// is held.
func (p *Proofs) recordEnd(proof railproof.Proof, before, listed int64) {
	if before != proof.StartMillis || listed > before {
		return
	}
	if p.ended == nil {
		p.ended = map[string]int64{}
	}
	p.ended[proof.Address] = before
}

// drop forgets what is known of an engine. The lock is held.
func (p *Proofs) drop(address string) {
	delete(p.known, address)
	p.OnChange(address, 0)
}

// Doubt makes the proof of an engine that has failed count only once it is confirmed.
func (p *Proofs) Doubt(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doubt(address, p.known[address])
}

// DoubtAll makes all proofs count only once they are confirmed.
func (p *Proofs) DoubtAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, e := range p.known {
		p.doubt(address, e)
	}
}

func (p *Proofs) doubt(address string, e *entry) {
	if e.version() == 0 {
		return
	}
	e.doubted = true
	p.OnChange(address, 0)
}

// Unproven returns the listed engines that hold complete weights by their rows, of which no proof counts now. A row may lag behind a proof.
func (p *Proofs) Unproven() []railinstance.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []railinstance.Instance
	for address, i := range p.listed {
		if p.known[address].version() < i.WeightsVersion {
			list = append(list, i)
		}
	}
	return list
}
