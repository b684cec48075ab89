package railexchange

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a response that is awaited until the deadline, since the sender has panicked in the middle of a request.
func TestPanicInSenderClosesTheConnection(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = lis.Close() }()
	conn, err := net.Dial("tcp", lis.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	e := &Exchange{conn: conn.(*net.TCPConn), sent: make(chan struct{})}
	go e.writeContained(nil) // Panics, since there is no request.
	<-e.sent
	_, err = conn.Read(make([]byte, 1))
	qt.Check(t, err, qt.ErrorIs, net.ErrClosed)
}
