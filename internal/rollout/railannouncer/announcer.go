package railannouncer

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/membership/railproof"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildatagram"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// firstRepeat is the time after which a notice without a reply is repeated. It doubles up to maxRepeat.
	firstRepeat = 60 * time.Millisecond
	maxRepeat   = 2 * time.Second
	// maxRepeats limits the repetitions of one notice. An entry that has not replied then asks by itself when it is back.
	maxRepeats = 10
	// askerTTL is the time for which an entry that is in no list gets notices after it has asked.
	askerTTL = 10 * time.Minute
	// checkInterval is the time between looks at the list of entries, since one that has started needs the latest notice.
	checkInterval = time.Second
	// replyTimeout bounds the wait for the replies of entries that may be gone for good.
	replyTimeout = 1500 * time.Millisecond
	// pollInterval is the time between looks at the replies during a wait.
	pollInterval = 2 * time.Millisecond
	// maxPollGap is the time between two looks beyond which the process counts as having stood still.
	maxPollGap = 250 * time.Millisecond
)

// Announcer sends notices about one engine. It is safe for concurrent use; its exported fields must be set before its first use.
type Announcer struct {
	// Address is the engine's address.
	Address string
	// Entries returns the entries.
	Entries func() []railmember.Member
	Send    func(datagram *railproto.Datagram, to ...*net.UDPAddr)
	Log     *slog.Logger

	mu    sync.Mutex
	proof railproof.Proof
	known bool
	// announced is the proof in the latest notice to all entries, and announcedAt the time of the first notice about its order.
	announced   railproof.Proof
	announcedAt time.Time
	repeats     int
	repeatAt    time.Time
	// replies holds the latest reply of each entry, by its address.
	replies map[string]reply
	// askers holds the times of the last questions of entries, by their addresses. They may be in no list yet, as while the store is away.
	askers map[string]time.Time
	wake   chan struct{}
	once   sync.Once
}

// reply is what an entry knows after it has applied a notice.
type reply struct {
	proof railproof.Proof
}

// Run repeats notices until ctx is done.
func (a *Announcer) Run(ctx context.Context) {
	a.once.Do(a.init)
	for ctx.Err() == nil {
		timer := time.NewTimer(a.repeatDue(time.Now()))
		select {
		case <-ctx.Done():
		case <-a.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (a *Announcer) init() {
	a.wake = make(chan struct{}, 1)
}

// SetProof sets what is known of the engine's weights. What entries need to know soon is sent: the first state of each start, and proven weights.
func (a *Announcer) SetProof(p railproof.Proof) {
	a.once.Do(a.init)
	p.Address = a.Address
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known && p == a.proof {
		return
	}
	news := !a.known || p.StartMillis != a.proof.StartMillis || p.Version > 0
	a.proof, a.known = p, true
	if news {
		a.repeats, a.repeatAt = 0, time.Now()
		a.wakeRun()
	}
}

func (a *Announcer) wakeRun() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Notify tells the entries which version the engine serves to new requests, or 0 while it accepts none. If changesIn is not 0, the engine
// replaces that version after this time.
func (a *Announcer) Notify(version int64, changesIn time.Duration) {
	a.mu.Lock()
	notice := a.notice()
	notice.Version, notice.ChangesInMillis = version, changesIn.Milliseconds()
	notice.ReplyWanted = changesIn == 0
	if notice.ReplyWanted {
		a.recordAnnounced(time.Now())
	}
	a.mu.Unlock()
	a.send(notice, a.addresses(a.entries())...)
}

// notice returns a notice of the proof that is known now. The lock is held.
func (a *Announcer) notice() *railproto.EndpointNotice {
	return &railproto.EndpointNotice{
		Address: a.Address, StartMillis: a.proof.StartMillis, Sequence: a.proof.Sequence, ProvenVersion: a.proof.Version,
	}
}

// recordAnnounced records that the proof that is known now is sent to all entries. The lock is held.
func (a *Announcer) recordAnnounced(now time.Time) {
	if a.announced.StartMillis != a.proof.StartMillis || a.announced.Sequence != a.proof.Sequence {
		a.announcedAt = now
	}
	if a.announced != a.proof {
		a.announced, a.repeats = a.proof, 0
	}
	a.repeatAt = now.Add(min(firstRepeat<<a.repeats, maxRepeat))
	a.repeats++
}

func (a *Announcer) send(notice *railproto.EndpointNotice, to ...*net.UDPAddr) {
	a.Send(&railproto.Datagram{Content: &railproto.Datagram_Notice{Notice: notice}}, to...)
}

// entries returns the listed entries and those that have asked.
func (a *Announcer) entries() []railmember.Member {
	list := a.Entries()
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.askers) == 0 {
		return list
	}
	listed := make(map[string]bool, len(list))
	for _, m := range list {
		listed[m.Address] = true
	}
	list = slices.Clone(list)
	for address, at := range a.askers {
		switch {
		case listed[address] || time.Since(at) > askerTTL:
			delete(a.askers, address)
		default:
			list = append(list, railmember.Member{Name: address, Address: address})
		}
	}
	return list
}

// addresses returns the datagram addresses of entries.
func (a *Announcer) addresses(entries []railmember.Member) []*net.UDPAddr {
	return raildatagram.Addresses(entries)
}

// repeatDue sends what is known to the entries that have not replied, if that is due, and returns the time until the next look.
func (a *Announcer) repeatDue(now time.Time) time.Duration {
	entries := a.entries()
	a.mu.Lock()
	silent := a.silent(entries)
	if !a.known || len(silent) == 0 || a.repeats > maxRepeats {
		a.mu.Unlock()
		return checkInterval
	}
	if wait := a.repeatAt.Sub(now); wait > 0 {
		a.mu.Unlock()
		return min(wait, checkInterval)
	}
	notice := a.notice()
	notice.ProofOnly, notice.ReplyWanted = true, true
	a.recordAnnounced(now)
	wait := a.repeatAt.Sub(now)
	a.mu.Unlock()
	a.send(notice, a.addresses(silent)...)
	return min(wait, checkInterval)
}

// silent returns the entries that have not replied to a notice about the order that is known now, or don't know that its weights are proven. The
// lock is held.
func (a *Announcer) silent(entries []railmember.Member) []railmember.Member {
	var list []railmember.Member
	for _, m := range entries {
		r, ok := a.replies[m.Address]
		if !ok || !reaches(r.proof, a.proof) || r.proof.Sequence == a.proof.Sequence && a.proof.Version > 0 && r.proof.Version == 0 {
			list = append(list, m)
		}
	}
	return list
}

// reaches reports whether an entry that knows one state of the engine knows of no earlier orders than that of another state.
func reaches(known, p railproof.Proof) bool {
	return known.SameStart(p.StartMillis) && known.Sequence >= p.Sequence
}

// HandleReply records the reply of an entry.
func (a *Announcer) HandleReply(from net.Addr, r *railproto.NoticeReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.replies == nil {
		a.replies = map[string]reply{}
	}
	p := railproof.Proof{Address: a.Address, StartMillis: r.GetStartMillis(), Sequence: r.GetSequence(), Version: r.GetProvenVersion()}
	if known, ok := a.replies[from.String()]; ok && known.proof.StartMillis == p.StartMillis && known.proof.Sequence > p.Sequence {
		return // A late reply to an earlier notice.
	}
	a.replies[from.String()] = reply{proof: p}
}

// Answer tells an entry that has asked what is known.
func (a *Announcer) Answer(to net.Addr) {
	address, ok := to.(*net.UDPAddr)
	if !ok {
		return
	}
	a.mu.Lock()
	if a.askers == nil {
		a.askers = map[string]time.Time{}
	}
	a.askers[address.String()] = time.Now()
	if !a.known {
		a.mu.Unlock()
		return
	}
	notice := a.notice()
	a.mu.Unlock()
	notice.ProofOnly = true
	a.send(notice, address)
}

// Known returns the version that an entry knows to be proven after the order of a proof, or 0. answered is false if there are entries and none has
// replied in time.
func (a *Announcer) Known(ctx context.Context, p railproof.Proof) (version int64, answered bool) {
	a.await(ctx, p, func(r reply) bool { return r.proof.Version > 0 })
	entries := a.entries()
	a.mu.Lock()
	defer a.mu.Unlock()
	answered = len(entries) == 0
	for _, m := range entries {
		r, ok := a.replies[m.Address]
		if !ok || !reaches(r.proof, p) {
			continue
		}
		answered = true
		if r.proof.Sequence == p.Sequence {
			version = max(version, r.proof.Version)
		}
	}
	return version, answered
}

// Fence returns once all entries have dropped what was proven before the order of a proof. It does not wait for ever for entries that don't reply:
// such an entry is gone, or can't reach the engine's VM, or has stood still, and asks again before it uses the engine.
func (a *Announcer) Fence(ctx context.Context, p railproof.Proof) {
	if silent := a.await(ctx, p, func(reply) bool { return false }); len(silent) > 0 {
		a.Log.Warn("entries have not told that they drop earlier proofs", "start", p.StartMillis, "sequence", p.Sequence, "entries", len(silent), "first", silent[0].Name)
	}
}

// await waits until all entries have replied to a notice about the order of a proof or a later one, until one reply is enough, or until replyTimeout
// after the first such notice. It returns the entries that have not replied.
func (a *Announcer) await(ctx context.Context, p railproof.Proof, enough func(reply) bool) []railmember.Member {
	a.once.Do(a.init)
	a.requestReplies(p)
	stoodStill, polledAt := time.Duration(0), time.Now()
	for {
		silent, settled, waited := a.lookup(p, enough)
		if gap := time.Since(polledAt); gap > maxPollGap { // No notice was repeated and no reply was read in this time.
			stoodStill += gap - maxPollGap
		}
		polledAt = time.Now()
		if settled || len(silent) == 0 || waited-stoodStill > replyTimeout || !railtimer.Sleep(ctx, pollInterval) {
			return silent
		}
	}
}

// requestReplies has the state that is known now sent at once, unless a notice about the order of a proof or a later one was sent before.
func (a *Announcer) requestReplies(p railproof.Proof) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.announcedAt.IsZero() && reaches(a.announced, p) {
		return
	}
	a.repeats, a.repeatAt = 0, time.Now()
	a.wakeRun()
}

// lookup returns the entries that have not replied, whether one of the replies is enough, and the time since the notice.
func (a *Announcer) lookup(p railproof.Proof, enough func(reply) bool) (silent []railmember.Member, settled bool, waited time.Duration) {
	entries := a.entries()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range entries {
		r, ok := a.replies[m.Address]
		switch {
		case !ok || !reaches(r.proof, p):
			silent = append(silent, m)
		case r.proof.Sequence == p.Sequence && enough(r):
			settled = true
		}
	}
	if !a.announcedAt.IsZero() {
		waited = time.Since(a.announcedAt)
	}
	return silent, settled, waited
}
