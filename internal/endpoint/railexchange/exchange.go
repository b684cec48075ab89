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

	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
)

const (
	// ConnectTimeout bounds an attempt to connect; a machine without power does not answer.
	ConnectTimeout = 400 * time.Millisecond
	// unacknowledged bounds the time for which sent bytes may stay unacknowledged.
	unacknowledged = 2 * time.Second
	bufferBytes    = 4096
	// longBodyBytes is the length above which a body is sent beside the wait for the answer, which may come early.
	longBodyBytes = 16 << 10
	// identityLength and chunkedLength stand in a header for a body without a length.
	identityLength = -2
	chunkedLength  = -1
)

// ErrTruncated means that an answer ended before it was whole.
var ErrTruncated = errors.New("the answer ended before it was whole")

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}
)

// Exchange is one request and its answer; Close ends it at any time.
type Exchange struct {
	// Header is the answer's header.
	Header fasthttp.ResponseHeader

	conn   net.Conn
	reader *bufio.Reader
	body   io.Reader
	stop   func() bool
	once   sync.Once
	sent   chan error
}

// Start sends a request to an address and returns once the answer's header is there; ctx ends the whole exchange. On an
// error the verdict says whether the request may have run.
func Start(ctx context.Context, address string, req *fasthttp.Request) (*Exchange, railverdict.Verdict, error) {
	dialer := net.Dialer{Timeout: ConnectTimeout, Control: setTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, railverdict.NotRun, errors.Wrap(err, "connect")
	}
	e := &Exchange{conn: conn, sent: make(chan error, 1)}
	e.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := e.send(req); err != nil {
		e.Close()
		return nil, railverdict.MayHaveRun, errors.Wrap(err, "send")
	}
	e.reader = readers.Get().(*bufio.Reader)
	e.reader.Reset(conn)
	if err := e.readHeader(); err != nil {
		e.Close()
		return nil, railverdict.MayHaveRun, errors.Wrap(err, "read the answer's header")
	}
	e.body = e.framed()
	return e, railverdict.Ran, nil
}

// Read reads the answer's body; io.EOF stands at the end of a whole one only.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = errors.Mark(err, ErrTruncated)
	}
	return n, err
}

// Close ends the exchange; an endpoint that still works on it is told so by the connection's end.
func (e *Exchange) Close() {
	e.once.Do(func() {
		e.stop()
		_ = e.conn.Close() // Nothing is waited for on this connection any more.
		if e.reader != nil {
			e.reader.Reset(nil)
			readers.Put(e.reader)
		}
	})
}

func (e *Exchange) send(req *fasthttp.Request) error {
	if len(req.Body()) <= longBodyBytes {
		return e.write(req)
	}
	copied := &fasthttp.Request{}
	req.CopyTo(copied)
	go func() { e.sent <- e.write(copied) }()
	return nil
}

func (e *Exchange) write(req *fasthttp.Request) error {
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(e.conn)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// readHeader reads the header of the final answer.
func (e *Exchange) readHeader() error {
	for {
		if err := e.Header.Read(e.reader); err != nil {
			return err
		}
		if code := e.Header.StatusCode(); code >= fasthttp.StatusOK {
			return nil
		}
	}
}

// framed returns the body as its framing bounds it.
func (e *Exchange) framed() io.Reader {
	code := e.Header.StatusCode()
	switch n := e.Header.ContentLength(); {
	case code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified:
		return io.LimitReader(e.reader, 0)
	case n == chunkedLength:
		return httputil.NewChunkedReader(e.reader)
	case n == identityLength:
		return e.reader
	default:
		return &counted{reader: e.reader, left: n}
	}
}

// counted reads a body of a known length.
type counted struct {
	reader io.Reader
	left   int
}

func (c *counted) Read(p []byte) (int, error) {
	if c.left == 0 {
		return 0, io.EOF
	}
	n, err := c.reader.Read(p[:min(len(p), c.left)])
	c.left -= n
	if errors.Is(err, io.EOF) && c.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func setTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A kernel without this option finds a silent peer by its own, longer timeout.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
}
