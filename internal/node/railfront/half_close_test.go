package railfront_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/node/railconn"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Guards against cutting the stream of a caller that closes its connection for sending once it has sent the request. The stream lasts longer than
// the entry takes to detect a caller that has left.
func TestCallerThatClosesForSendingGetsItsStream(t *testing.T) {
	c := qt.New(t)
	begun, release := make(chan struct{}), make(chan struct{})
	data := &railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_DATA, Data: []byte(`{"token":"t"}`), WeightsDigest: "w"}
	end := &railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_END, Count: 2, Status: 200, WeightsDigest: "w"}
	_, front := newFront(c, "", func(_ context.Context, _ railrequest.Request, s sink) (railverdict.Verdict, *railproto.Frame, error) {
		c.Check(s("e", data), qt.IsNil)
		close(begun)
		<-release
		c.Check(s("e", data), qt.IsNil)
		c.Check(s("e", end), qt.IsNil)
		return railverdict.Ran, end, nil
	})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &fasthttp.Server{Handler: front.Handle}
	go func() { _ = server.Serve(&railconn.Listener{Listener: lis}) }()
	c.Cleanup(func() { _ = server.Shutdown() })
	conn, err := net.Dial("tcp", lis.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST /chat/x HTTP/1.1\r\nHost: entry\r\nFulmarrail-Customer: castle\r\nContent-Length: 0\r\n\r\n")
	c.Assert(err, qt.IsNil)
	<-begun
	c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	time.Sleep(2500 * time.Millisecond)
	close(release)
	response, err := io.ReadAll(conn)
	c.Check(err, qt.IsNil)
	c.Check(strings.Count(string(response), "data: {\"token\":\"t\"}"), qt.Equals, 2)
	c.Check(string(response), qt.Contains, "event: end\ndata: {\"count\":2")
}
