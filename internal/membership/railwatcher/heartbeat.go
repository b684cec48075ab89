package railwatcher

import (
	"context"
	"fmt"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

func (w *Watcher) heartbeatTarget(ctx context.Context, m railmember.Member) {
	w.mu.Lock()
	if w.targets == nil {
		w.targets = map[string]*target{}
	}
	t := w.targets[m.Name]
	if t == nil || t.member.Address != m.Address {
		t = &target{member: m}
		w.targets[m.Name] = t
	}
	t.member = m
	inFlight := t.heartbeatInFlight
	t.heartbeatInFlight = true
	t.resend = inFlight && w.Revisions.Number() > t.offeredRevision
	w.mu.Unlock()
	if inFlight {
		return // The previous heartbeat is still in flight; heartbeats must not pile up at a stalled endpoint.
	}
	go w.heartbeatUntilCurrent(ctx, t, m)
}

// heartbeatUntilCurrent exchanges a heartbeat, and repeats it immediately as long as a newer revision arrives in the meantime.
func (w *Watcher) heartbeatUntilCurrent(ctx context.Context, t *target, m railmember.Member) {
	for again := true; again && ctx.Err() == nil; {
		w.mu.Lock()
		t.offeredRevision, t.resend = w.Revisions.Number(), false
		w.mu.Unlock()
		start := time.Now()
		reply, err := w.exchange(ctx, m, nil)
		again = w.recordHeartbeat(t, m, reply, err, time.Since(start))
		w.OnUpdate()
	}
}

// recordHeartbeat records the outcome of a heartbeat. It reports whether another one is to follow at once.
func (w *Watcher) recordHeartbeat(t *target, m railmember.Member, reply *railproto.HeartbeatReply, err error, took time.Duration) (again bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	again = err == nil && t.resend
	t.heartbeatInFlight = again
	if err == nil {
		t.applyReply(reply, took, m.Leaving)
		w.applySpacing(t, reply.GetLoad())
	}
	return again
}

// heartbeatPeers sends a heartbeat to each of the sampled entries without waiting for the replies. The changed parts may be nil.
func (w *Watcher) heartbeatPeers(ctx context.Context, changedParts *railproto.PartDigest) {
	for _, m := range w.samplePeers() {
		go w.heartbeatPeer(ctx, m, changedParts)
	}
}

func (w *Watcher) heartbeatPeer(ctx context.Context, m railmember.Member, changedParts *railproto.PartDigest) {
	reply, err := w.exchange(ctx, m, changedParts)
	if err != nil {
		return
	}
	if reply.GetParts() != nil {
		w.Quarantine.Merge(reply.GetParts())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.peersLastSeen[m.Name]; ok {
		w.peersLastSeen[m.Name] = time.Now()
	}
}

// queryRevision asks a few of the listed processes for their revision, different ones on each call. A new entry that can't
// reach the platform adopts the current revision from any process that has it.
func (w *Watcher) queryRevision(ctx context.Context) {
	w.mu.Lock()
	w.revisionQueries++
	seed := fmt.Sprintf("%s/%d", w.Name, w.revisionQueries)
	w.mu.Unlock()
	others := w.Roster.Members(func(m railmember.Member) bool { return m.Name != w.Name })
	for _, m := range rankingByName().Top(seed, others, peerSampleSize) {
		go func() {
			if _, err := w.exchange(ctx, m, nil); err != nil {
				w.Log.Debug("could not get the revision from a peer", "peer", m.Name, "err", err)
			}
		}()
	}
}

// exchange sends a heartbeat and brings the side with the older revision up to date. A panic is an error of this exchange.
func (w *Watcher) exchange(ctx context.Context, m railmember.Member, changedParts *railproto.PartDigest) (reply *railproto.HeartbeatReply, err error) {
	defer func() {
		if p := railpanic.Recovered(recover(), w.Log, "heartbeat", "peer", m.Name); p != nil {
			reply, err = nil, p
		}
	}()
	return w.exchangeOnce(ctx, m, changedParts)
}

func (w *Watcher) exchangeOnce(ctx context.Context, m railmember.Member, changedParts *railproto.PartDigest) (*railproto.HeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	client := w.Connect(ctx, m.Address)
	ownNumber := w.Revisions.Number()
	era, eraAge := w.Era.Latest()
	reply, err := client.Heartbeat(ctx, &railproto.HeartbeatRequest{
		Revision: ownNumber, ConfirmedAgeMillis: w.Revisions.Age().Milliseconds(), Leaving: w.Leaving(),
		ChangedParts: changedParts, StoreEra: era, StoreEraAgeMillis: eraAge.Milliseconds(),
	})
	if err != nil {
		return nil, err
	}
	w.Era.Observe(reply.GetStoreEra(), time.Duration(reply.GetStoreEraAgeMillis())*time.Millisecond)
	if reply.GetRevision() != ownNumber {
		if number, err := w.syncRevision(ctx, client, reply.GetRevision()); err == nil {
			reply.Revision = number
		}
	}
	w.Revisions.Confirm(reply.GetRevision(), time.Duration(reply.GetConfirmedAgeMillis())*time.Millisecond)
	return reply, nil
}

// syncRevision sends this entry's revision to a peer with an older one, or adopts the peer's revision if that is newer.
// peerNumber is the revision number that the peer has reported. It returns the peer's revision number after the exchange.
func (w *Watcher) syncRevision(ctx context.Context, client railproto.DRPCNodeClient, peerNumber uint64) (uint64, error) {
	revision, _ := w.Revisions.Current()
	req := &railproto.RevisionRequest{Number: revision.Number, ConfirmedAgeMillis: w.Revisions.Age().Milliseconds()}
	if revision.Number > peerNumber {
		req.Content = revision.Pack()
	}
	reply, err := client.Revision(ctx, req)
	if err != nil {
		return 0, err
	}
	if reply.GetNumber() > revision.Number {
		newer, err := railrevision.Unpack(reply.GetContent())
		if err != nil {
			return 0, err
		}
		if w.Revisions.Adopt(newer) {
			w.Log.Info("adopted a newer revision from a peer", "revision", newer.Number)
		}
	}
	return reply.GetNumber(), nil
}
