package raildigest

import (
	"context"
	"net"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildatagram"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// repeatAfter is the time after which a digest is sent again though nothing has changed.
	repeatAfter = 500 * time.Millisecond
)

// Exchange sends digests and takes those of others; its fields are set before Run.
type Exchange struct {
	// Name is this entry's name.
	Name   string
	Socket *raildatagram.Socket
	// Peers returns the addresses of the other entries.
	Peers func() []*net.UDPAddr
	// Digest returns what is in flight here and a number that grows with each change of it.
	Digest func() ([]*railproto.EndpointLoad, uint64)
	// Absorb takes over what is in flight at another entry.
	Absorb func(entry string, sequence uint64, loads []*railproto.EndpointLoad) bool
	// Notice takes over what a carrier tells of the engine beside it.
	Notice func(address string, version int64, changesIn time.Duration)
	// Interval is the time between two digests.
	Interval time.Duration
}

// Run exchanges digests until ctx is done.
func (x *Exchange) Run(ctx context.Context) {
	go x.Socket.Receive(ctx, x.take)
	var last uint64
	var sent time.Time
	for railtimer.Sleep(ctx, x.Interval) {
		loads, sequence := x.Digest()
		if sequence == last && time.Since(sent) < repeatAfter {
			continue
		}
		last, sent = sequence, time.Now()
		x.send(&railproto.LoadDigest{Entry: x.Name, Sequence: sequence, Loads: loads})
	}
}

func (x *Exchange) send(digest *railproto.LoadDigest) {
	x.Socket.Send(&railproto.Datagram{Content: &railproto.Datagram_Digest{Digest: digest}}, x.Peers()...)
}

func (x *Exchange) take(_ net.Addr, datagram *railproto.Datagram) {
	if digest := datagram.GetDigest(); digest != nil {
		x.Absorb(digest.GetEntry(), digest.GetSequence(), digest.GetLoads())
	}
	if notice := datagram.GetNotice(); notice != nil {
		x.Notice(notice.GetAddress(), notice.GetVersion(), time.Duration(notice.GetChangesInMillis())*time.Millisecond)
	}
}
