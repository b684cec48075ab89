package railending_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railending"
)

const (
	// timeout is longer than any wait that a test expects.
	timeout = 20 * time.Second
	// sendBytes is more than the buffers of both sockets hold.
	sendBytes = 16 << 20
)

// connect returns both ends of a connection.
func connect(t *testing.T) (conn, peer *net.TCPConn) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = lis.Close() }()
	dialed, err := net.Dial("tcp", lis.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	accepted, err := lis.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// Guards against a reset that counts as the end of a connection, since the writer got the error.
func TestResetIsNoEndAlsoIfTheWriterGotItsError(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(peer *net.TCPConn)
		want error
	}{
		"closed": {func(peer *net.TCPConn) { _ = peer.CloseWrite(); _, _ = io.CopyN(io.Discard, peer, sendBytes) }, nil},
		"reset":  {func(peer *net.TCPConn) { _ = peer.SetLinger(0); _ = peer.Close() }, railending.ErrReset},
		"closed, then reset": {func(peer *net.TCPConn) {
			_ = peer.CloseWrite()
			time.Sleep(100 * time.Millisecond)
			_ = peer.SetLinger(0)
			_ = peer.Close()
		}, railending.ErrReset},
	} {
		t.Run(name, func(t *testing.T) {
			conn, peer := connect(t)
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = conn.Write(make([]byte, sendBytes))
			}()
			go test.end(peer)
			_, _ = io.Copy(io.Discard, conn) // Ends with an error if the reader gets it.
			begun := time.Now()
			qt.Check(t, railending.Await(conn, written, timeout), qt.Equals, test.want)
			qt.Check(t, time.Since(begun) < timeout/2, qt.IsTrue)
		})
	}
}

func TestAwaitEndsWithItsTimeoutIfThePeerDoesNotReadOn(t *testing.T) {
	conn, peer := connect(t)
	written := make(chan struct{})
	qt.Assert(t, peer.CloseWrite(), qt.IsNil)
	qt.Check(t, railending.Await(conn, written, 50*time.Millisecond), qt.IsNil)
}
