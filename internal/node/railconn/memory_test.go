package railconn_test

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/limit/railmemory"
	"github.com/fulmarrail/fulmarrail/internal/node/railconn"
)

// memoryServer serves with a memory of poolBytes. Each handler tells arrived and waits for release.
type memoryServer struct {
	address          string
	pool             *railmemory.Pool
	arrived, release chan struct{}
}

func startMemoryServer(t *testing.T, poolBytes int64) *memoryServer {
	t.Helper()
	s := &memoryServer{pool: &railmemory.Pool{MaxBytes: poolBytes}, arrived: make(chan struct{}, 16), release: make(chan struct{})}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &fasthttp.Server{
		MaxRequestBodySize: 4 << 20, HeaderReceived: railconn.HeaderReceived(testTimeout), ConnState: railconn.TrackState,
		Handler: func(ctx *fasthttp.RequestCtx) {
			ctx.Conn().(*railconn.Conn).MarkAnswering()
			s.arrived <- struct{}{}
			<-s.release
		},
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			status, reason := railconn.UnreadableStatus(ctx.Conn(), err, false)
			ctx.Error(reason, status)
		},
	}
	go func() { _ = server.Serve(&railconn.Listener{Listener: lis, Memory: s.pool}) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	s.address = lis.Addr().String()
	return s
}

// post sends a request with a body of the given size, in chunks or with a length, and returns the status, or 0 without a response.
func (s *memoryServer) post(size int, chunked bool) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + s.address + "/")
	req.Header.SetMethod(fasthttp.MethodPost)
	body := strings.Repeat("x", size)
	if chunked {
		req.SetBodyStream(io.LimitReader(strings.NewReader(body), int64(size)), -1)
	} else {
		req.SetBodyString(body)
	}
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := client.Do(req, resp); err != nil {
		return 0
	}
	return resp.StatusCode()
}

// Guards against a process that exceeds its memory, and ends with all its requests, since callers send large bodies at the same time.
func TestRequestsBeyondTheMemoryAreRejected(t *testing.T) {
	const size = 1 << 20
	for _, chunked := range []bool{false, true} {
		t.Run("chunked "+strconv.FormatBool(chunked), func(t *testing.T) {
			s := startMemoryServer(t, 3*size)
			statuses := make(chan int, 2)
			for range 2 {
				go func() { statuses <- s.post(size, chunked) }()
				<-s.arrived
			}
			qt.Check(t, s.post(size, chunked), qt.Equals, fasthttp.StatusServiceUnavailable)
			small := make(chan int, 1)
			go func() { small <- s.post(1<<10, chunked) }()
			<-s.arrived
			close(s.release)
			for range 2 {
				qt.Check(t, <-statuses, qt.Equals, fasthttp.StatusOK)
			}
			qt.Check(t, <-small, qt.Equals, fasthttp.StatusOK, qt.Commentf("a small request needs no reservation"))
			for range 4 {
				qt.Check(t, s.post(size, chunked), qt.Equals, fasthttp.StatusOK, qt.Commentf("the memory is free again"))
			}
		})
	}
}
