package railgatewaycmd

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/raillog"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railproof"
	"github.com/fulmarrail/fulmarrail/internal/membership/railproofs"
	"github.com/fulmarrail/fulmarrail/internal/node/railproofkeeper"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railenginestate"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
	"github.com/fulmarrail/fulmarrail/platform"
)

// maxQueried is the number of engines in one question to another entry, which sends a datagram for each.
const maxQueried = 200

// newKeeper prepares the fleet to use only proven weights, and returns what finds out which these are.
func (g *gateway) newKeeper(timer *railtimer.Service) *railproofkeeper.Keeper {
	log := raillog.Named(g.Log, "proofs")
	g.proofs = &railproofs.Proofs{OnChange: g.fleet.SetProven, Log: log}
	keeper := &railproofkeeper.Keeper{Proofs: g.proofs, Ask: g.askForProofs, Report: g.engineState, Now: g.Clock.Now, Timer: timer, Log: log}
	g.keeper = keeper
	g.fleet.RequireProofs, g.fleet.OnFailure, g.fleet.Suspended = true, g.proofs.Doubt, keeper.Suspended
	return keeper
}

// handleNotice applies a notice about an engine and replies if that is wanted. A notice about an earlier order than is known changes nothing.
func (g *gateway) handleNotice(from net.Addr, n *railproto.EndpointNotice) {
	proof := railproof.Proof{Address: n.GetAddress(), StartMillis: n.GetStartMillis(), Sequence: n.GetSequence(), Version: n.GetProvenVersion()}
	apply := g.proofs.ApplyReport
	if isFromCarrier(from, n) {
		apply = g.proofs.Apply
	}
	applied := apply(proof)
	if applied && !n.GetProofOnly() && (n.GetVersion() == 0 || n.GetVersion() == n.GetProvenVersion()) {
		g.fleet.ApplyNotice(n.GetAddress(), n.GetVersion(), time.Duration(n.GetChangesInMillis())*time.Millisecond)
	}
	if applied && n.GetProofOnly() {
		g.frontend.Wake()
	}
	address, ok := from.(*net.UDPAddr)
	if !ok || !n.GetReplyWanted() {
		return
	}
	known, _ := g.proofs.Get(n.GetAddress())
	reply := &railproto.NoticeReply{StartMillis: known.StartMillis, Sequence: known.Sequence, ProvenVersion: known.Version}
	g.socket.Send(&railproto.Datagram{Content: &railproto.Datagram_NoticeReply{NoticeReply: reply}}, address)
}

// isFromCarrier reports whether a notice is from the VM of the engine that it is about, and so from the carrier there. Others are from entries.
func isFromCarrier(from net.Addr, n *railproto.EndpointNotice) bool {
	sender, ok := from.(*net.UDPAddr)
	if !ok {
		return false
	}
	engine, err := netip.ParseAddrPort(n.GetAddress())
	return err == nil && sender.AddrPort().Addr().Unmap() == engine.Addr().Unmap()
}

// answerQuery tells another entry which weights are proven.
func (g *gateway) answerQuery(from net.Addr, q *railproto.EndpointQuery) {
	address, ok := from.(*net.UDPAddr)
	if !ok {
		return
	}
	for _, queried := range q.GetAddresses()[:min(len(q.GetAddresses()), maxQueried)] {
		known, _ := g.proofs.Get(queried)
		if known.Version == 0 {
			continue
		}
		notice := &railproto.EndpointNotice{
			Address: queried, StartMillis: known.StartMillis, Sequence: known.Sequence, ProvenVersion: known.Version, ProofOnly: true,
		}
		g.socket.Send(&railproto.Datagram{Content: &railproto.Datagram_Notice{Notice: notice}}, address)
	}
}

// askForProofs asks the carrier beside each engine, and one of the other entries for all of them, which weights are proven.
func (g *gateway) askForProofs(list []railinstance.Instance) {
	var addresses []string
	for _, i := range list {
		addresses = append(addresses, i.Address)
		if carrier, ok := g.carrierAddress(i); ok {
			g.sendQuery([]string{i.Address}, carrier)
		}
	}
	peers := g.peerAddresses()
	if len(peers) == 0 {
		return
	}
	for len(addresses) > 0 {
		n := min(len(addresses), maxQueried)
		g.sendQuery(addresses[:n], peers[rand.IntN(len(peers))])
		addresses = addresses[n:]
	}
}

func (g *gateway) sendQuery(addresses []string, to *net.UDPAddr) {
	g.socket.Send(&railproto.Datagram{Content: &railproto.Datagram_Query{Query: &railproto.EndpointQuery{Addresses: addresses}}}, to)
}

// carrierAddress returns the datagram address of the carrier on an engine's VM. The inner port is the same on all VMs.
func (g *gateway) carrierAddress(i railinstance.Instance) (*net.UDPAddr, bool) {
	engine, err := netip.ParseAddrPort(i.Address)
	if err != nil {
		return nil, false
	}
	inner, err := netip.ParseAddrPort(g.Site.Process.InternalAddress)
	if err != nil {
		return nil, false
	}
	return net.UDPAddrFromAddrPort(netip.AddrPortFrom(engine.Addr(), inner.Port())), true
}

// engineState reads the state of an engine.
func (g *gateway) engineState(ctx context.Context, i railinstance.Instance) (railenginestate.State, error) {
	engine := &platform.Engine{Timeout: g.Site.Process.CallTimeout, Address: i.Address, Layers: func() int { return g.Layers(i.Service) }}
	return engine.State(ctx)
}
