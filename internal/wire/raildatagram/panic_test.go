package raildatagram_test

import (
	"context"
	"log/slog"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/wire/raildatagram"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Guards against one datagram that ends the process of its receiver, or its reading of datagrams.
func TestPanicInHandlingOneDatagramIsContained(t *testing.T) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	socket := &raildatagram.Socket{Conn: conn, Log: slog.New(slog.DiscardHandler)}
	handled := make(chan uint64)
	go socket.Receive(ctx, func(_ net.Addr, datagram *railproto.Datagram) {
		sequence := datagram.GetDigest().GetSequence()
		if sequence == 1 {
			panic("at a datagram")
		}
		handled <- sequence
	})
	for _, sequence := range []uint64{1, 2} {
		digest := &railproto.LoadDigest{Sequence: sequence}
		socket.Send(&railproto.Datagram{Content: &railproto.Datagram_Digest{Digest: digest}}, conn.LocalAddr().(*net.UDPAddr))
	}
	qt.Check(t, <-handled, qt.Equals, uint64(2))
}
