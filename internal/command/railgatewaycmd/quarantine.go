package railgatewaycmd

import (
	"context"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildatagram"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// partDigestInterval is the interval of digests of all suspected and quarantined parts. They are repeated because datagrams may be lost
	// and entries may start.
	partDigestInterval = 500 * time.Millisecond
	// partChangeDelay is the delay of a digest of changes, so that the end of an engine under many requests needs only one.
	partChangeDelay = 5 * time.Millisecond
)

// shareQuarantine reports suspected and quarantined parts of prompts to the other entries until ctx is done: changes that this entry has
// seen itself at once, and all of them periodically.
func (g *gateway) shareQuarantine(ctx context.Context, socket *raildatagram.Socket, timer *railtimer.Service) {
	ticks, stopTicks := timer.Subscribe(partDigestInterval)
	defer stopTicks()
	for ctx.Err() == nil {
		var digest *railproto.PartDigest
		select {
		case <-ctx.Done():
		case <-ticks:
			digest = g.quarantine.Digest()
		case <-g.quarantine.Changed():
			railtimer.Sleep(ctx, partChangeDelay)
			digest = g.quarantine.Changes()
		}
		if digest != nil {
			socket.Send(&railproto.Datagram{Content: &railproto.Datagram_Parts{Parts: digest}}, g.peerAddresses()...)
		}
	}
}
