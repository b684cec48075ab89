package railwatcher

import (
	"context"
	"fmt"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

func (w *Watcher) beatTarget(ctx context.Context, m railmember.Member) {
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
	busy := t.busy
	t.busy = true
	t.behind = busy && w.Keeper.Number() > t.offered
	w.mu.Unlock()
	if busy {
		return // The last heartbeat is still on its way; a stalled endpoint gets no pile of them.
	}
	go w.beatWhileBehind(ctx, t, m)
}

// beatWhileBehind exchanges one heartbeat, and another one at once when a newer revision came in the meantime.
func (w *Watcher) beatWhileBehind(ctx context.Context, t *target, m railmember.Member) {
	for again := true; again && ctx.Err() == nil; {
		w.mu.Lock()
		t.offered, t.behind = w.Keeper.Number(), false
		w.mu.Unlock()
		began := time.Now()
		reply, err := w.exchange(ctx, m)
		w.mu.Lock()
		again = err == nil && t.behind
		t.busy = again
		if err == nil {
			t.heard(reply, time.Since(began), m.Leaving)
		}
		w.mu.Unlock()
		w.OnUpdate()
	}
}

func (w *Watcher) beatPeer(ctx context.Context, m railmember.Member) {
	if _, err := w.exchange(ctx, m); err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.peers[m.Name]; ok {
		w.peers[m.Name] = time.Now()
	}
}

// askForRevision asks a few of the listed processes, other ones each time: a fresh entry that does not reach the platform
// takes the revision in force from whoever has it.
func (w *Watcher) askForRevision(ctx context.Context) {
	w.mu.Lock()
	w.asked++
	turn := fmt.Sprintf("%s/%d", w.Name, w.asked)
	w.mu.Unlock()
	others := w.Roster.Members(func(m railmember.Member) bool { return m.Name != w.Name })
	for _, m := range byName().Top(turn, others, peerSample) {
		go func() {
			if _, err := w.exchange(ctx, m); err != nil {
				w.Log.Debug("revision not learned from a peer", "peer", m.Name, "err", err)
			}
		}()
	}
}

// exchange sends a heartbeat and brings the side that is behind up to the other's revision.
func (w *Watcher) exchange(ctx context.Context, m railmember.Member) (*railproto.HeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	client := w.Connect(ctx, m.Address)
	mine := w.Keeper.Number()
	reply, err := client.Heartbeat(ctx, &railproto.HeartbeatRequest{
		Revision: mine, ConfirmedAgeMillis: w.Keeper.Age().Milliseconds(), Leaving: w.Leaving(),
	})
	if err != nil {
		return nil, err
	}
	if reply.GetRevision() != mine {
		if number, err := w.align(ctx, client, reply.GetRevision()); err == nil {
			reply.Revision = number
		}
	}
	w.Keeper.Confirm(reply.GetRevision(), time.Duration(reply.GetConfirmedAgeMillis())*time.Millisecond)
	return reply, nil
}

// align sends the own revision to a process that is behind, adopts the other's when that is ahead, and returns the other's
// number after that; theirs is the number that the other has named.
func (w *Watcher) align(ctx context.Context, client railproto.DRPCNodeClient, theirs uint64) (uint64, error) {
	revision, _ := w.Keeper.Current()
	req := &railproto.RevisionRequest{Number: revision.Number, ConfirmedAgeMillis: w.Keeper.Age().Milliseconds()}
	if revision.Number > theirs {
		req.Content = revision.Pack()
	}
	reply, err := client.Revision(ctx, req)
	if err != nil {
		return 0, err
	}
	if reply.GetNumber() > revision.Number {
		ahead, err := railrevision.Unpack(reply.GetContent())
		if err != nil {
			return 0, err
		}
		if w.Keeper.Adopt(ahead) {
			w.Log.Info("revision adopted from a peer", "revision", ahead.Number)
		}
	}
	return reply.GetNumber(), nil
}
