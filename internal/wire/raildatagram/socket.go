package raildatagram

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	maxBytes = 16 << 10
	// errorPause is the pause after a failed read, so that a broken socket does not take up the processor.
	errorPause = 40 * time.Millisecond
)

// Socket is a socket for datagrams; its fields are set before its first use.
type Socket struct {
	Conn net.PacketConn
	Log  *slog.Logger
}

// Send sends a datagram to each of the addresses; one that is lost is replaced by the next.
func (s *Socket) Send(datagram *railproto.Datagram, to ...*net.UDPAddr) {
	data, err := proto.Marshal(datagram)
	if err != nil {
		s.Log.Error("datagram not encoded", "err", err)
		return
	}
	for _, address := range to {
		if _, err := s.Conn.WriteTo(data, address); err != nil {
			s.Log.Debug("datagram not sent", "to", address, "err", err)
		}
	}
}

// Receive hands each datagram to take, until ctx is done; the socket is closed then.
func (s *Socket) Receive(ctx context.Context, take func(from net.Addr, datagram *railproto.Datagram)) {
	stop := context.AfterFunc(ctx, func() { _ = s.Conn.Close() })
	defer stop()
	buffer := make([]byte, maxBytes)
	for ctx.Err() == nil {
		n, from, err := s.Conn.ReadFrom(buffer)
		if err != nil {
			railtimer.Sleep(ctx, errorPause)
			continue
		}
		var datagram railproto.Datagram
		if err := proto.Unmarshal(buffer[:n], &datagram); err != nil {
			s.Log.Debug("datagram can't be read", "from", from, "err", err)
			continue
		}
		take(from, &datagram)
	}
}

// Addresses returns the addresses for datagrams of processes; one that has none is left out.
func Addresses(members []railmember.Member) []*net.UDPAddr {
	var list []*net.UDPAddr
	for _, m := range members {
		if address, err := netip.ParseAddrPort(m.Address); err == nil {
			list = append(list, net.UDPAddrFromAddrPort(address))
		}
	}
	return list
}
