package railexchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http/httputil"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/fulmarrail/fulmarrail/internal/core/railpanic"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
)

const (
	// ConnectTimeout limits a connection attempt, since a VM that has lost power does not reply at all.
	ConnectTimeout = 400 * time.Millisecond
	// RefusalTimeout limits the time for which the body of a refusal may arrive, since another endpoint may take the request.
	RefusalTimeout = 2 * time.Second
	// userTimeout is the TCP user timeout: the time for which sent data may stay unacknowledged.
	userTimeout = 2 * time.Second
	bufferBytes = 4096
	// asyncSendBytes is the body size above which the request is sent concurrently with reading the response, since the response
	// may arrive before the body has been sent.
	asyncSendBytes = 16 << 10
	// identityLength and chunkedLength are fasthttp's content lengths for a body that ends with the connection and for a chunked
	// body.
	identityLength = -2
	chunkedLength  = -1
)

// ErrTruncated means that a response ended before it was complete.
var ErrTruncated = errors.New("the answer ended before it was whole")

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}
)

// Exchange is a request and its response. Close may be called at any time to end it.
type Exchange struct {
	// Header is the response header.
	Header fasthttp.ResponseHeader

	conn          *net.TCPConn
	reader        *bufio.Reader
	body          io.Reader
	stopAfterFunc func() bool
	closeOnce     sync.Once
	// sent is closed once the request has been written to the connection, or can't be.
	sent chan struct{}
}

// Start sends a request to an address and returns after it has read the response header. Cancelling ctx ends the whole exchange,
// including reads of the body. On error, the verdict tells whether the request may have run. Start releases the request once it is sent,
// which may be after it has returned; a raw body must not change before the exchange is garbage.
func Start(ctx context.Context, address string, req *fasthttp.Request) (*Exchange, railverdict.Verdict, error) {
	dialer := net.Dialer{Timeout: ConnectTimeout, Control: setUserTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		fasthttp.ReleaseRequest(req)
		return nil, railverdict.NotRun, errors.Wrap(err, "connect")
	}
	e := &Exchange{conn: conn.(*net.TCPConn), sent: make(chan struct{})}
	e.stopAfterFunc = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := e.send(req); err != nil {
		e.Close()
		return nil, railverdict.MayHaveRun, errors.Wrap(err, "send")
	}
	e.reader = readerPool.Get().(*bufio.Reader)
	e.reader.Reset(conn)
	if err := e.readHeader(); err != nil {
		e.Close()
		return nil, railverdict.MayHaveRun, errors.Wrap(err, "read the answer's header")
	}
	e.body = e.bodyReader()
	return e, railverdict.Ran, nil
}

// Read reads the response body. It returns io.EOF only at the end of a complete body; any other error is marked as ErrTruncated.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = errors.Mark(err, ErrTruncated)
	}
	return n, err
}

// EndsWithConnection reports whether the end of the connection is the end of the body, so that a body that was cut off may look complete.
func (e *Exchange) EndsWithConnection() bool {
	_, ok := e.body.(*connectionReader)
	return ok
}

// Close ends the exchange and closes the connection, which tells the endpoint to stop working on the request.
func (e *Exchange) Close() {
	e.closeOnce.Do(func() {
		e.stopAfterFunc()
		_ = e.conn.Close() // The connection is not used any more.
		if e.reader != nil {
			e.reader.Reset(nil)
			readerPool.Put(e.reader)
		}
	})
}

// send writes and releases the request.
func (e *Exchange) send(req *fasthttp.Request) error {
	if len(req.Body()) <= asyncSendBytes {
		return e.write(req)
	}
	go e.writeContained(req)
	return nil
}

// writeContained is write, whose panic it contains: it runs apart from the request's other work, which contains its own. The reader sees by itself that
// the connection has broken, and that it was closed after a panic, since the endpoint would wait for the rest of the request.
func (e *Exchange) writeContained(req *fasthttp.Request) {
	defer func() {
		if railpanic.Recovered(recover(), nil, "send") != nil {
			_ = e.conn.Close() // The connection is not used any more.
		}
	}()
	_ = e.write(req)
}

func (e *Exchange) write(req *fasthttp.Request) error {
	defer close(e.sent)
	defer fasthttp.ReleaseRequest(req)
	w := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(w)
	w.Reset(e.conn)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// bodyReader returns a reader for the body as delimited by the response's content length or transfer encoding.
func (e *Exchange) bodyReader() io.Reader {
	code := e.Header.StatusCode()
	switch n := e.Header.ContentLength(); {
	case code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified:
		return io.LimitReader(e.reader, 0)
	case n == chunkedLength:
		return httputil.NewChunkedReader(e.reader)
	case n == identityLength:
		return &connectionReader{exchange: e}
	default:
		return &lengthReader{reader: e.reader, remaining: n}
	}
}

// lengthReader reads a body of a known length.
type lengthReader struct {
	reader    io.Reader
	remaining int
}

func (c *lengthReader) Read(p []byte) (int, error) {
	if c.remaining == 0 {
		return 0, io.EOF
	}
	n, err := c.reader.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	if errors.Is(err, io.EOF) && c.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A kernel without this option detects an unresponsive peer by its own, longer timeout.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
