package railconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/limit/railconnlimits"
	"github.com/fulmarrail/fulmarrail/internal/node/railconn"
)

const (
	headBufferBytes = 4 << 10
	maxBodyBytes    = 1 << 20
	shortTime       = 200 * time.Millisecond
	// slack is the time that a head has beyond its limit.
	slack = time.Second

	requestStart = "POST /x HTTP/1.1\r\nHost: h.example\r\n"
	chunked      = "Transfer-Encoding: chunked\r\n\r\n"
	head         = requestStart + "Content-Length: 4\r\n\r\n"
)

var (
	headLimit = railconnlimits.Limits{HeaderTimeout: shortTime}
	long      = strings.Repeat("x", 1000)
	longHead  = requestStart + "Long: " + long
)

// limitedServer is an HTTP server whose callers' connections are limited.
type limitedServer struct {
	address string
	limits  atomic.Pointer[railconnlimits.Limits]
}

func newLimitedServer(t *testing.T, limits railconnlimits.Limits, bodyTimeout time.Duration) *limitedServer {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &limitedServer{address: lis.Addr().String()}
	s.limits.Store(&limits)
	server := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			ctx.Conn().(*railconn.Conn).MarkAnswering()
			ctx.SetBody(ctx.PostBody())
		},
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			status, reason := railconn.UnreadableStatus(ctx.Conn(), err, false)
			ctx.Error(reason, status)
		},
		HeaderReceived: railconn.HeaderReceived(bodyTimeout), ConnState: railconn.TrackState,
		ReadBufferSize: headBufferBytes, MaxRequestBodySize: maxBodyBytes,
	}
	go func() {
		_ = server.Serve(&railconn.Listener{Listener: lis, Limits: func() railconnlimits.Limits { return *s.limits.Load() }})
	}()
	t.Cleanup(func() { _ = server.Shutdown() })
	return s
}

// limitedConn is a caller's connection.
type limitedConn struct {
	net.Conn
	reader *bufio.Reader
}

func (s *limitedServer) connect(t *testing.T) *limitedConn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	return &limitedConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// send sends data. The deadline of the connection begins anew, since a test may wait for long between two steps.
func (c *limitedConn) send(t *testing.T, data string) {
	t.Helper()
	qt.Assert(t, c.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	_, err := io.WriteString(c, data)
	qt.Assert(t, err, qt.IsNil)
}

// receive reads a complete response and returns its status and whether it announces the end of the connection.
func (c *limitedConn) receive(t *testing.T) (status int, closes bool) {
	t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.Copy(io.Discard, resp.Body)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, resp.Body.Close(), qt.IsNil)
	return resp.StatusCode, resp.Close
}

// expectEnd checks that the connection ends without a reset and without another byte.
func (c *limitedConn) expectEnd(t *testing.T) {
	t.Helper()
	_, err := c.reader.ReadByte()
	qt.Check(t, err, qt.ErrorIs, io.EOF)
}

// trickle sends data byte by byte until the connection ends.
func (c *limitedConn) trickle(data string) {
	for i := range data {
		if _, err := io.WriteString(c, data[i:i+1]); err != nil {
			return
		}
		time.Sleep(shortTime / 4)
	}
}

// Guards against callers that keep a connection for ever by sending a request byte by byte, and against ending it without an answer.
func TestRequestThatTricklesIsAnsweredWithTimeout(t *testing.T) {
	for name, test := range map[string]struct {
		limits      railconnlimits.Limits
		bodyTimeout time.Duration
		// sent is sent at once; what follows is sent byte by byte.
		sent, trickled string
		// answered is set if sent begins with a whole request.
		answered bool
		atLeast  time.Duration
	}{
		"head":                       {headLimit, testTimeout, "", longHead, false, shortTime + slack},
		"head of the second request": {headLimit, testTimeout, head + "body", longHead, true, shortTime + slack},
		// Its time begins a little before its response has been received.
		"head that began with the request before": {headLimit, testTimeout, head + "body" + longHead[:10], longHead[10:], true, slack},
		"body":            {railconnlimits.Limits{}, 2 * shortTime, requestStart + "Content-Length: 1000\r\n\r\n", long, false, 2 * shortTime},
		"chunked body":    {railconnlimits.Limits{}, 2 * shortTime, requestStart + chunked, strings.Repeat("1\r\nx\r\n", 200), false, 2 * shortTime},
		"size of a chunk": {railconnlimits.Limits{}, 2 * shortTime, requestStart + chunked + "1\r", "", false, 2 * shortTime},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newLimitedServer(t, test.limits, test.bodyTimeout).connect(t)
			start := time.Now()
			c.send(t, test.sent)
			if test.answered {
				status, closes := c.receive(t)
				qt.Check(t, status, qt.Equals, http.StatusOK)
				qt.Check(t, closes, qt.IsFalse)
				start = time.Now()
			}
			go c.trickle(test.trickled)
			status, closes := c.receive(t)
			qt.Check(t, status, qt.Equals, http.StatusRequestTimeout)
			qt.Check(t, closes, qt.IsTrue)
			qt.Check(t, time.Since(start) >= test.atLeast, qt.IsTrue, qt.Commentf("%s", time.Since(start)))
			c.expectEnd(t)
		})
	}
}

// Guards against a first request that has less time the later it comes after its connection was opened, and against a body whose time began with
// its head.
func TestTimesOfARequestBeginWithItsParts(t *testing.T) {
	t.Parallel()
	// Each wait leaves a slow machine more than a second until its limit; two of them together are over it.
	const limit, connWait, headWait, bodyWait = 3 * time.Second, 2500 * time.Millisecond, 2 * time.Second, 1500 * time.Millisecond
	c := newLimitedServer(t, railconnlimits.Limits{HeaderTimeout: limit}, limit).connect(t)
	time.Sleep(connWait)
	for range 2 {
		c.send(t, head[:10])
		time.Sleep(headWait)
		c.send(t, head[10:])
		time.Sleep(bodyWait)
		c.send(t, "body")
		status, _ := c.receive(t)
		qt.Check(t, status, qt.Equals, http.StatusOK)
	}
}

// Guards against connections that stay open for ever though nothing comes on them, and against ending them by a reset or with a response that
// belongs to no request.
func TestIdleConnectionIsClosedCleanly(t *testing.T) {
	for name, before := range map[string]string{"new": "", "after a response": head + "body"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newLimitedServer(t, railconnlimits.Limits{IdleTimeout: shortTime}, testTimeout).connect(t)
			c.send(t, before)
			if before != "" {
				c.receive(t)
			}
			start := time.Now()
			c.expectEnd(t)
			qt.Check(t, time.Since(start) > shortTime/2, qt.IsTrue)
			c.send(t, head) // It crosses the end, and is discarded without a reset.
			c.expectEnd(t)
		})
	}
}

// Guards against closing a connection as idle while its next request arrives.
func TestIdleTimeEndsWithFirstByte(t *testing.T) {
	t.Parallel()
	const idleTimeout = 2 * time.Second
	c := newLimitedServer(t, railconnlimits.Limits{IdleTimeout: idleTimeout}, testTimeout).connect(t)
	for range 2 {
		c.send(t, head[:1])
		time.Sleep(idleTimeout + slack)
		c.send(t, head[1:]+"body")
		status, _ := c.receive(t)
		qt.Check(t, status, qt.Equals, http.StatusOK)
	}
}

// Guards against refusing a request whose parts have arrived in time, but were read late since the process was held up.
func TestWhatHasArrivedInTimeIsReadLate(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = lis.Close() })
	caller, err := net.Dial("tcp", lis.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = caller.Close() })
	limits := railconnlimits.Limits{HeaderTimeout: shortTime, IdleTimeout: shortTime}
	accepted, err := (&railconn.Listener{Listener: lis, Limits: func() railconnlimits.Limits { return limits }}).Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = accepted.Close() })
	var b [1]byte
	for _, wait := range []time.Duration{2 * shortTime, 2*shortTime + slack} {
		_, err = io.WriteString(caller, "1")
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(wait)
		n, err := accepted.Read(b[:])
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, n, qt.Equals, 1)
	}
	n, err := accepted.Read(b[:])
	qt.Check(t, n, qt.Equals, 0)
	qt.Check(t, err, qt.ErrorIs, os.ErrDeadlineExceeded)
}

// Guards against a change of the limits that cuts a request that is on its way, or an idle connection sooner than its caller was told.
func TestShorterLimitsHoldFromTheNextRequestOn(t *testing.T) {
	s := newLimitedServer(t, railconnlimits.Limits{HeaderTimeout: time.Minute, IdleTimeout: time.Minute}, testTimeout)
	receiving, idle := s.connect(t), s.connect(t)
	receiving.send(t, head[:10])
	idle.send(t, head+"body")
	idle.receive(t)
	time.Sleep(shortTime) // Both connections wait for bytes now.
	s.limits.Store(&railconnlimits.Limits{HeaderTimeout: shortTime, IdleTimeout: shortTime})
	time.Sleep(2*shortTime + slack)
	for c, rest := range map[*limitedConn]string{receiving: head[10:] + "body", idle: head + "body"} {
		c.send(t, rest)
		status, _ := c.receive(t)
		qt.Check(t, status, qt.Equals, http.StatusOK)
		c.expectEnd(t)
	}
}

// Guards against requests that are too long and get no answer, or one that calls them malformed.
func TestRequestThatIsTooLongIsAnswered(t *testing.T) {
	for name, test := range map[string]struct {
		request string
		status  int
	}{
		"head": {requestStart + "Long: " + strings.Repeat("x", 2*headBufferBytes) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"body": {requestStart + "Content-Length: " + strconv.Itoa(maxBodyBytes+1) + "\r\n\r\nx", http.StatusRequestEntityTooLarge},
		"chunked body": {
			requestStart + chunked + strconv.FormatInt(maxBodyBytes+1, 16) + "\r\nx", http.StatusRequestEntityTooLarge,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newLimitedServer(t, railconnlimits.Limits{}, testTimeout).connect(t)
			c.send(t, test.request)
			status, closes := c.receive(t)
			qt.Check(t, status, qt.Equals, test.status)
			qt.Check(t, closes, qt.IsTrue)
			c.expectEnd(t)
		})
	}
}
