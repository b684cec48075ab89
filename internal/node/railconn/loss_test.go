package railconn_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/node/railconn"
	"github.com/fulmarrail/fulmarrail/internal/node/railloss"
)

// connectWithLosses is connect with a function that closes the server's end and returns the losses that were reported since the beginning.
func connectWithLosses(t *testing.T) (*railconn.Listener, *railconn.Conn, net.Conn, func() []railloss.Loss) {
	t.Helper()
	var losses []railloss.Loss
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = lis.Close() })
	caller, err := net.Dial("tcp", lis.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = caller.Close() })
	qt.Assert(t, caller.SetReadDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	listener := &railconn.Listener{Listener: lis, OnLoss: func(l railloss.Loss) { losses = append(losses, l) }}
	accepted, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	conn := accepted.(*railconn.Conn)
	return listener, conn, caller, func() []railloss.Loss {
		_ = conn.Close()
		_ = conn.Close() // The HTTP server closes a connection that was reset, too.
		return losses
	}
}

// Guards against a request that ends in the middle without a trace.
func TestIncompleteRequestIsReported(t *testing.T) {
	for name, before := range map[string]func(*testing.T, *railconn.Conn, net.Conn){
		"first request":   func(*testing.T, *railconn.Conn, net.Conn) {},
		"further request": exchange,
	} {
		t.Run(name, func(t *testing.T) {
			_, conn, caller, losses := connectWithLosses(t)
			before(t, conn, caller)
			_, err := caller.Write([]byte("POST"))
			qt.Assert(t, err, qt.IsNil)
			_, err = io.ReadFull(conn, make([]byte, 4))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, caller.Close(), qt.IsNil)
			_, err = conn.Read(make([]byte, 1))
			qt.Assert(t, err, qt.Equals, io.EOF)
			got := losses()
			qt.Assert(t, got, qt.HasLen, 1)
			qt.Check(t, got[0].Kind, qt.Equals, railloss.Incomplete)
			qt.Check(t, got[0].Bytes, qt.Equals, 4)
			qt.Check(t, got[0].Err, qt.Equals, io.EOF)
			qt.Check(t, got[0].SinceFirst > 0, qt.IsTrue)
		})
	}
}

// Guards against a part of a request that the server had read with the request before, and that is lost without a trace.
func TestIncompletePipelinedRequestIsReported(t *testing.T) {
	_, conn, caller, losses := connectWithLosses(t)
	exchange(t, conn, caller)
	conn.MarkReceiving()
	got := losses()
	qt.Assert(t, got, qt.HasLen, 1)
	qt.Check(t, got[0].Kind, qt.Equals, railloss.Incomplete)
}

// Guards against a request that crosses the end of its connection and is dropped without a trace.
func TestRequestThatCrossesDrainIsReported(t *testing.T) {
	listener, conn, caller, losses := connectWithLosses(t)
	exchange(t, conn, caller)
	read := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 16))
		read <- err
	}()
	listener.Drain()
	_, err := caller.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF)
	qt.Check(t, listener.Counts().String(), qt.Contains, "ending=1")
	_, err = caller.Write([]byte("POST /late"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, caller.Close(), qt.IsNil)
	qt.Assert(t, <-read, qt.Equals, io.EOF)
	got := losses()
	qt.Assert(t, got, qt.HasLen, 1)
	qt.Check(t, got[0].Kind, qt.Equals, railloss.Discarded)
	qt.Check(t, string(got[0].Head), qt.Equals, "POST /late")
	qt.Check(t, got[0].Bytes, qt.Equals, 10)
	qt.Check(t, got[0].Draining, qt.IsTrue)
	qt.Check(t, got[0].SinceEnd > 0, qt.IsTrue)
}

// Guards against a request that was received in full and whose connection ends without a byte and without a trace.
func TestUnansweredRequestIsReported(t *testing.T) {
	for name, end := range map[string]func(*railconn.Conn){"closed": func(*railconn.Conn) {}, "reset": (*railconn.Conn).Abort} {
		t.Run(name, func(t *testing.T) {
			_, conn, caller, losses := connectWithLosses(t)
			exchange(t, conn, caller)
			_, err := caller.Write([]byte("1"))
			qt.Assert(t, err, qt.IsNil)
			_, err = conn.Read(make([]byte, 1))
			qt.Assert(t, err, qt.IsNil)
			conn.MarkAnswering()
			conn.SetRequestID("id-1")
			end(conn)
			got := losses()
			qt.Assert(t, got, qt.HasLen, 1)
			qt.Check(t, got[0].Kind, qt.Equals, railloss.Unanswered)
			qt.Check(t, got[0].RequestID, qt.Equals, "id-1")
		})
	}
}

// Guards against a response that counts as given although it could not be written.
func TestUnwrittenResponseIsReported(t *testing.T) {
	_, conn, caller, losses := connectWithLosses(t)
	_, err := caller.Write([]byte("1"))
	qt.Assert(t, err, qt.IsNil)
	_, err = conn.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)
	conn.MarkAnswering()
	conn.SetRequestID("id-1")
	qt.Assert(t, caller.(*net.TCPConn).SetLinger(0), qt.IsNil)
	qt.Assert(t, caller.Close(), qt.IsNil)
	_, err = conn.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNotNil)
	_, err = conn.Write([]byte("1"))
	qt.Assert(t, err, qt.IsNotNil)
	got := losses()
	qt.Assert(t, got, qt.HasLen, 1)
	qt.Check(t, got[0].Kind, qt.Equals, railloss.Unwritten)
	qt.Check(t, got[0].RequestID, qt.Equals, "id-1")
	qt.Check(t, got[0].Err, qt.IsNotNil)
}

// Guards against reports of connections on which nothing was lost.
func TestAnsweredRequestsAreNoLoss(t *testing.T) {
	for name, use := range map[string]func(*testing.T, *railconn.Conn, net.Conn){
		"no request": func(*testing.T, *railconn.Conn, net.Conn) {},
		"caller leaves between requests": func(t *testing.T, conn *railconn.Conn, caller net.Conn) {
			exchange(t, conn, caller)
			qt.Assert(t, caller.Close(), qt.IsNil)
			_, err := conn.Read(make([]byte, 1))
			qt.Assert(t, err, qt.Equals, io.EOF)
		},
		"response that ends its connection": func(t *testing.T, conn *railconn.Conn, caller net.Conn) {
			_, err := caller.Write([]byte("1"))
			qt.Assert(t, err, qt.IsNil)
			_, err = conn.Read(make([]byte, 1))
			qt.Assert(t, err, qt.IsNil)
			conn.MarkAnswering()
			_, err = conn.Write([]byte("1"))
			qt.Assert(t, err, qt.IsNil)
		},
		"response before the end of its request": func(t *testing.T, conn *railconn.Conn, caller net.Conn) {
			_, err := caller.Write([]byte("1"))
			qt.Assert(t, err, qt.IsNil)
			_, err = conn.Read(make([]byte, 1))
			qt.Assert(t, err, qt.IsNil)
			_, err = conn.Write([]byte("1"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, caller.Close(), qt.IsNil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, conn, caller, losses := connectWithLosses(t)
			use(t, conn, caller)
			qt.Check(t, losses(), qt.HasLen, 0)
		})
	}
}
