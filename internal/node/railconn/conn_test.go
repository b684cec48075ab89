package railconn_test

import (
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/node/railconn"
)

const testTimeout = 10 * time.Second

// connect returns both ends of a connection, the server's with its listener.
func connect(t *testing.T) (*railconn.Listener, *railconn.Conn, net.Conn) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = lis.Close() })
	caller, err := net.Dial("tcp", lis.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = caller.Close() })
	qt.Assert(t, caller.SetReadDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	listener := &railconn.Listener{Listener: lis}
	conn, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return listener, conn.(*railconn.Conn), caller
}

// exchange sends a request of one byte to the server and answers it with the same byte.
func exchange(t *testing.T, conn *railconn.Conn, caller net.Conn) {
	t.Helper()
	var b [1]byte
	_, err := caller.Write([]byte("1"))
	qt.Assert(t, err, qt.IsNil)
	_, err = conn.Read(b[:])
	qt.Assert(t, err, qt.IsNil)
	_, err = conn.Write(b[:])
	qt.Assert(t, err, qt.IsNil)
	_, err = caller.Read(b[:])
	qt.Assert(t, err, qt.IsNil)
	conn.MarkAnswered()
}

// Guards against resetting a connection whose caller sends a request while the drain closes it: the request must be dropped unread,
// and the caller must see the end of the connection.
func TestRequestThatCrossesDrainIsDroppedWithoutReset(t *testing.T) {
	listener, conn, caller := connect(t)
	exchange(t, conn, caller)
	type result struct {
		n   int
		err error
	}
	read := make(chan result, 1)
	go func() {
		n, err := conn.Read(make([]byte, 1))
		_ = conn.Close() // As the server does at the end of a connection.
		read <- result{n, err}
	}()
	listener.Drain()
	var b [1]byte
	_, err := caller.Read(b[:])
	qt.Assert(t, err, qt.ErrorIs, io.EOF)
	for range 2 {
		_, err = caller.Write([]byte("2"))
		qt.Check(t, err, qt.IsNil)
		_, err = caller.Read(b[:])
		qt.Check(t, err, qt.ErrorIs, io.EOF)
	}
	qt.Assert(t, caller.Close(), qt.IsNil)
	qt.Check(t, <-read, qt.Equals, result{0, io.EOF})
}

// Guards against losing a request that arrived on an idle connection before the drain did.
func TestRequestThatArrivedBeforeDrainIsRead(t *testing.T) {
	listener, conn, caller := connect(t)
	exchange(t, conn, caller)
	_, err := caller.Write([]byte("2"))
	qt.Assert(t, err, qt.IsNil)
	listener.Drain()
	var b [1]byte
	_, err = conn.Read(b[:])
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(b[:]), qt.Equals, "2")
}

func TestDrainLeavesOpenConnectionsWithoutRequestYet(t *testing.T) {
	listener, conn, caller := connect(t)
	qt.Check(t, listener.Drain(), qt.Equals, 0)
	exchange(t, conn, caller)
	go func() { _, _ = conn.Read(make([]byte, 1)) }() // Closes the connection, as it is idle now.
	_, err := caller.Read(make([]byte, 1))
	qt.Check(t, err, qt.ErrorIs, io.EOF)
}

// Guards against a request that is taken for one whose caller has left, since it arrived in full as the drain gave up waiting for it.
func TestRequestThatArrivesAsReceivingEndsIsStillWatched(t *testing.T) {
	listener, conn, caller := connect(t)
	_, err := caller.Write([]byte("1"))
	qt.Assert(t, err, qt.IsNil)
	_, err = conn.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, listener.Busy(), qt.Equals, 1)
	qt.Check(t, listener.EndReceiving(), qt.Equals, 1)
	qt.Check(t, listener.EndReceiving(), qt.Equals, 0, qt.Commentf("a request is cut off once"))
	conn.MarkAnswering()
	left := make(chan struct{})
	stop := conn.Watch(func() { close(left) })
	select {
	case <-left:
		t.Error("the caller has not left")
	case <-time.After(50 * time.Millisecond):
	}
	qt.Assert(t, caller.Close(), qt.IsNil)
	<-left
	stop()
}

// Guards against reading a request on a connection that the drain has given up.
func TestEndReceivingInterruptsRead(t *testing.T) {
	for name, c := range map[string]struct {
		sent string
		err  error
	}{
		"a request has begun":  {"1", os.ErrDeadlineExceeded},
		"no request has begun": {"", io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			listener, conn, caller := connect(t)
			_, err := io.WriteString(caller, c.sent)
			qt.Assert(t, err, qt.IsNil)
			if c.sent != "" {
				_, err = conn.Read(make([]byte, 1))
				qt.Assert(t, err, qt.IsNil)
			}
			listener.EndReceiving()
			qt.Assert(t, caller.(*net.TCPConn).CloseWrite(), qt.IsNil) // Ends what the connection still discards.
			_, err = conn.Read(make([]byte, 1))
			qt.Check(t, err, qt.ErrorIs, c.err)
		})
	}
}

// Guards against a whole request that is discarded without a word, since the server has not read it yet when the drain gives up waiting for requests.
func TestRequestThatHasArrivedAsReceivingEndsIsRead(t *testing.T) {
	listener, conn, caller := connect(t)
	_, err := io.WriteString(caller, "12")
	qt.Assert(t, err, qt.IsNil)
	for !strings.Contains(listener.Counts().String(), "unread=1") {
		time.Sleep(time.Millisecond)
	}
	qt.Check(t, listener.EndReceiving(), qt.Equals, 0)
	n, err := conn.Read(make([]byte, 2))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, n, qt.Equals, 2)
	_, err = conn.Read(make([]byte, 1))
	qt.Check(t, err, qt.ErrorIs, os.ErrDeadlineExceeded)
}

// Guards against a response that is lost by a reset, since its caller still sends when the connection is closed.
func TestResponseToRequestThatStillArrivesIsNotLost(t *testing.T) {
	_, conn, caller := connect(t)
	_, err := caller.Write([]byte("1"))
	qt.Assert(t, err, qt.IsNil)
	_, err = conn.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)
	_, err = conn.Write([]byte("rejected"))
	qt.Assert(t, err, qt.IsNil)
	_, err = caller.Write([]byte("the rest"))
	qt.Assert(t, err, qt.IsNil)
	closed := make(chan error, 1)
	go func() { closed <- conn.Close() }()
	got, err := io.ReadAll(caller)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(got), qt.Equals, "rejected")
	qt.Assert(t, caller.Close(), qt.IsNil)
	qt.Check(t, <-closed, qt.IsNil)
}
