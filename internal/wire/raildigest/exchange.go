package raildigest

import (
	"context"
	"log/slog"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	maxDatagramBytes = 16 << 10
	// repeatAfter is the time after which a digest is sent again though nothing has changed.
	repeatAfter = 500 * time.Millisecond
)

// Exchange sends digests and takes those of others; its fields are set before Run.
type Exchange struct {
	// Name is this entry's name.
	Name string
	Conn net.PacketConn
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
	Log      *slog.Logger
}

// Run exchanges digests until ctx is done.
func (x *Exchange) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = x.Conn.Close() })
	defer stop()
	go x.receive(ctx)
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
	datagram := &railproto.Datagram{Content: &railproto.Datagram_Digest{Digest: digest}}
	Send(x.Conn, x.Peers(), datagram, x.Log)
}

// Send sends a datagram to each of the addresses; one that is lost is replaced by the next.
func Send(conn net.PacketConn, to []*net.UDPAddr, datagram *railproto.Datagram, log *slog.Logger) {
	data, err := proto.Marshal(datagram)
	if err != nil {
		log.Error("datagram not encoded", "err", err)
		return
	}
	for _, address := range to {
		if _, err := conn.WriteTo(data, address); err != nil {
			log.Debug("datagram not sent", "to", address, "err", err)
		}
	}
}

func (x *Exchange) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := x.Conn.ReadFrom(buffer)
		if err != nil {
			railtimer.Sleep(ctx, x.Interval)
			continue
		}
		var datagram railproto.Datagram
		if err := proto.Unmarshal(buffer[:n], &datagram); err != nil {
			x.Log.Debug("datagram can't be read", "from", from, "err", err)
			continue
		}
		x.take(&datagram)
	}
}

func (x *Exchange) take(datagram *railproto.Datagram) {
	if digest := datagram.GetDigest(); digest != nil {
		x.Absorb(digest.GetEntry(), digest.GetSequence(), digest.GetLoads())
	}
	if notice := datagram.GetNotice(); notice != nil {
		x.Notice(notice.GetAddress(), notice.GetVersion(), time.Duration(notice.GetChangesInMillis())*time.Millisecond)
	}
}
