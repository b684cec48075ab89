package raillimittrial

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railentries"
	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/routing/railadmitter"
	"github.com/fulmarrail/fulmarrail/internal/wire/railloadbroadcast"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// datagramDelay is the network delay of a datagram between gateways.
	datagramDelay = 2 * time.Millisecond
	// maxHeldDatagrams is the number of datagrams that the socket of a frozen gateway holds.
	maxHeldDatagrams = 256
)

// gateway is one gateway with the state that it shares with the others.
type gateway struct {
	trial   *Trial
	index   int
	fleet   *railfleet.Fleet
	entries *railentries.Entries
	policy  policy

	mu sync.Mutex
	// running is closed unless the gateway is frozen.
	running chan struct{}
	// held holds the datagrams that have arrived while the gateway is frozen.
	held []heldDatagram
	// waits ends when the gateway freezes: its callers give up.
	waits   context.Context
	abandon context.CancelFunc
	// datagrams and bytes count what the gateway has sent to others, once for each receiver.
	datagrams, bytes int
}

// heldDatagram is a datagram with its sender.
type heldDatagram struct {
	from     *gateway
	datagram *railproto.Datagram
}

func newGateway(t *Trial, index int) *gateway {
	g := &gateway{trial: t, index: index, running: make(chan struct{})}
	close(g.running)
	g.waits, g.abandon = context.WithCancel(context.Background())
	log := slog.New(slog.DiscardHandler)
	g.entries = &railentries.Entries{Self: gatewayName(index), Log: log}
	g.fleet = &railfleet.Fleet{Zone: zone, Region: zone, Share: g.entries.Share, Holders: g.entries.Holders, Ask: g.ask, Log: log}
	admitter := &railadmitter.Admitter{Fleet: g.fleet, Log: log}
	g.fleet.OnChange = admitter.Wake
	if t.Policy == PolicyEqualParts {
		g.policy = newEqualParts(g.entries, len(t.engines))
	} else {
		g.policy = &systemPolicy{fleet: g.fleet, admitter: admitter, backend: t.backend(), engineIndexes: t.engineIndexes, ignoreLimits: t.Policy == PolicyNoLimits}
	}
	g.fleet.SetInstances(t.instances())
	return g
}

func gatewayName(index int) string {
	return fmt.Sprint("gateway-", index)
}

// broadcast sends the gateway's digests until ctx is done.
func (g *gateway) broadcast(ctx context.Context) {
	timer := &railtimer.Service{}
	go timer.Run(ctx)
	(&railloadbroadcast.Broadcaster{Name: g.entries.Self, Incarnation: 1, Source: g.fleet, Timer: timer, Send: g.sendDigest}).Run(ctx)
}

// sendDigest sends a digest to all other gateways.
func (g *gateway) sendDigest(digest *railproto.LoadDigest) {
	g.send(g.trial.peersOf(g), &railproto.Datagram{Content: &railproto.Datagram_Digest{Digest: digest}})
}

// ask sends another gateway a question for a loan.
func (g *gateway) ask(entry string, loan *railproto.QuotaLoan) {
	peers := slices.DeleteFunc(g.trial.peersOf(g), func(peer *gateway) bool { return peer.entries.Self != entry })
	g.send(peers, &railproto.Datagram{Content: &railproto.Datagram_Loan{Loan: loan}})
}

// send sends a datagram to other gateways, unless this one is frozen. The datagram may be lost.
func (g *gateway) send(peers []*gateway, datagram *railproto.Datagram) {
	if g.isFrozen() {
		return
	}
	g.mu.Lock()
	g.datagrams += len(peers)
	g.bytes += len(peers) * proto.Size(datagram)
	g.mu.Unlock()
	time.AfterFunc(datagramDelay, func() {
		for _, peer := range peers {
			if !g.trial.losesDatagram() {
				peer.receive(g, datagram)
			}
		}
	})
}

func (g *gateway) receive(from *gateway, datagram *railproto.Datagram) {
	if g.hold(heldDatagram{from: from, datagram: datagram}) {
		return
	}
	if digest := datagram.GetDigest(); digest != nil {
		g.entries.MarkSeen(digest.GetEntry())
		g.fleet.MergeDigest(digest)
	}
	if loan := datagram.GetLoan(); loan != nil {
		if answer := g.fleet.HandleLoan(loan); answer != nil {
			g.send([]*gateway{from}, &railproto.Datagram{Content: &railproto.Datagram_Loan{Loan: answer}})
		}
	}
}

// hold keeps or drops a datagram that arrives while the gateway is frozen. It returns false if the gateway is not frozen.
func (g *gateway) hold(d heldDatagram) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.running:
		return false
	default:
	}
	if len(g.held) < maxHeldDatagrams {
		g.held = append(g.held, d)
	}
	return true
}

func (g *gateway) isFrozen() bool {
	select {
	case <-g.whileFrozen():
		return false
	default:
		return true
	}
}

// whileFrozen returns a channel that is closed as soon as the gateway is not frozen.
func (g *gateway) whileFrozen() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

// freeze stops the gateway for some time. Its waiting callers give up; requests that come meanwhile wait for the end of the freeze.
func (g *gateway) freeze(ctx context.Context, d time.Duration) {
	g.mu.Lock()
	g.running = make(chan struct{})
	g.abandon()
	g.waits, g.abandon = context.WithCancel(context.Background())
	g.mu.Unlock()
	for _, e := range g.trial.engines {
		e.excuse(g.index)
	}
	railtimer.Sleep(ctx, d)
	g.mu.Lock()
	held := g.held
	g.held = nil
	close(g.running)
	g.mu.Unlock()
	for _, d := range held {
		g.receive(d.from, d.datagram)
	}
}

// callerContext returns a context for a request, which ends when the gateway freezes.
func (g *gateway) callerContext() context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waits
}

func (g *gateway) setMembers(indexes []int) {
	var members []railmember.Member
	for _, i := range indexes {
		members = append(members, railmember.Member{Name: gatewayName(i), Role: railmember.RoleEntry, Zone: zone, Region: zone})
	}
	g.entries.SetMembers(members)
}

func engineID(index int) string {
	return fmt.Sprint("engine-", index)
}

func (t *Trial) instances() []railinstance.Instance {
	var list []railinstance.Instance
	for i := range t.engines {
		id := engineID(i)
		list = append(list, railinstance.Instance{ID: id, Address: id, Service: service, Zone: zone, Region: zone, Slots: slots, WeightsVersion: 1})
	}
	return list
}
