package raildatagram

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	// maxDatagramBytes is the size of the receive buffer. Larger datagrams are truncated.
	maxDatagramBytes = 16 << 10
	// readErrorBackoff is the delay after a failed read. It keeps a broken socket from causing a busy loop.
	readErrorBackoff = 40 * time.Millisecond
)

// Socket sends and receives datagrams encoded as protobuf messages. Its fields must be set before first use.
type Socket struct {
	Conn net.PacketConn
	Log  *slog.Logger
}

// Send sends a datagram to each of the addresses. Errors are only logged, since each datagram replaces the ones before it.
func (s *Socket) Send(datagram *railproto.Datagram, to ...*net.UDPAddr) {
	data, err := proto.Marshal(datagram)
	if err != nil {
		s.Log.Error("failed to encode datagram", "err", err)
		return
	}
	for _, address := range to {
		if _, err := s.Conn.WriteTo(data, address); err != nil {
			s.Log.Debug("failed to send datagram", "to", address, "err", err)
		}
	}
}

// Receive calls handle for each datagram until ctx is done, and then closes the connection. It skips datagrams that it can't
// decode, or whose handling panics.
func (s *Socket) Receive(ctx context.Context, handle func(from net.Addr, datagram *railproto.Datagram)) {
	stop := context.AfterFunc(ctx, func() { _ = s.Conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := s.Conn.ReadFrom(buffer)
		if err != nil {
			railtimer.Sleep(ctx, readErrorBackoff)
			continue
		}
		s.receiveOne(from, buffer[:n], handle)
	}
}

// receiveOne decodes one datagram and calls handle with it. A panic ends only that: the datagram is lost, as others are.
func (s *Socket) receiveOne(from net.Addr, data []byte, handle func(from net.Addr, datagram *railproto.Datagram)) {
	defer func() { _ = railpanic.Recovered(recover(), s.Log, "datagram", "from", from) }()
	var datagram railproto.Datagram
	if err := proto.Unmarshal(data, &datagram); err != nil {
		s.Log.Debug("failed to decode datagram", "from", from, "err", err)
		return
	}
	handle(from, &datagram)
}

// Addresses returns the UDP addresses of members. It skips members whose address is not an IP address and port.
func Addresses(members []railmember.Member) []*net.UDPAddr {
	var addresses []*net.UDPAddr
	for _, m := range members {
		if address, err := netip.ParseAddrPort(m.Address); err == nil {
			addresses = append(addresses, net.UDPAddrFromAddrPort(address))
		}
	}
	return addresses
}
