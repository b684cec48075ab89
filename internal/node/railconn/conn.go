package railconn

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/limit/railconnlimits"
	"github.com/fulmarrail/fulmarrail/internal/limit/railmemory"
	"github.com/fulmarrail/fulmarrail/internal/node/railloss"
)

const (
	// lingerTimeout is how long input is discarded after the end of the connection has been sent, unless the caller closes it sooner.
	lingerTimeout = time.Second
	// newRequestTime is how long a drain awaits the first byte of the first request on a connection.
	newRequestTime = time.Second
	// discardBufferBytes is the size of the buffer with which input is discarded.
	discardBufferBytes = 4 << 10
)

// past is a deadline that interrupts a read.
var past = time.Unix(1, 0)

// Conn is a caller's connection.
type Conn struct {
	net.Conn

	// onClose is called when the connection is closed, and onLoss if something of its caller's was lost with it.
	onClose func()
	// currentLimits returns the limits that are in force.
	currentLimits func() railconnlimits.Limits
	onLoss        func(railloss.Loss)

	mu sync.Mutex
	// buffered and readErr hold the result of Watch's read until Read returns it.
	buffered []byte
	readErr  error
	state    connState
	// stateSince is the time of the last change of state.
	stateSince time.Time
	// waitUntil is when the state's wait ends by the limits, or zero.
	waitUntil time.Time
	// deadline is that of the underlying connection's reads.
	deadline time.Time
	// limits holds those of the current request.
	limits railconnlimits.Limits
	// interrupted is set while Watch's read is to end.
	interrupted bool
	// readingArrived is set while data is read that has arrived already.
	readingArrived bool
	// timedOut is set if the last read has ended by the time for its request.
	timedOut bool
	// draining is set if the connection is to be closed when it is idle.
	draining bool
	// cutOff is set if no request that has not arrived in full is awaited any longer.
	cutOff bool
	// respondedEarly is set if a response was begun before its request had been received in full.
	respondedEarly bool
	progress       progress
	// memory is the pool of which the current request holds reserved bytes, or nil if there is no bound. outOfMemory is set if it had too
	// few.
	memory      *railmemory.Pool
	reserved    int
	outOfMemory bool
}

// Read is like read, and reserves memory for the request that arrives. It returns an error if there is none left.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if n > 0 && !c.reserveMemory() {
		return 0, errNoMemory
	}
	return n, err
}

// read reads from the connection, beginning with the data that was received during Watch. If the connection is idle or new and is drained, or its
// idle time is over, read closes it and returns io.EOF. If the time for a request is over, or it has been cut off, read returns an error that is a
// timeout. Data that had arrived by then is still returned, unless the request was cut off.
func (c *Conn) read(p []byte) (int, error) {
	if n, err := c.takeSavedRead(p); n > 0 || err != nil {
		c.noteRead(p[:n], err)
		return n, err
	}
	c.beginWait()
	n, err := c.Conn.Read(p)
	switch {
	case n == 0 && !errors.Is(err, os.ErrDeadlineExceeded):
		c.noteRead(nil, err)
		return 0, err
	case n == 0 && !c.refusesArrived() && c.hasUnreadData():
		n, err = c.readArrived(p)
	}
	c.noteRead(p[:n], err)
	if begun := c.endWait(n); !begun {
		c.sendEnd(p)
		return 0, io.EOF
	}
	c.saveTimeout(err)
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.respondedEarly = c.state == connReceiving
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.noteWrite(n, err)
	return n, err
}

// Close closes the connection and calls onClose. If the last response was written before its request had arrived in full, or more has arrived after
// the request, what still arrives is discarded for a moment, since a reset could cost the caller the response.
func (c *Conn) Close() error {
	if loss, ok := c.takeLoss(); ok && c.onLoss != nil {
		c.onLoss(loss)
	}
	if c.hasRespondedEarly() || c.hasMoreInput() {
		c.sendEnd(make([]byte, discardBufferBytes))
	}
	c.mu.Lock()
	c.releaseMemory()
	c.mu.Unlock()
	c.onClose()
	return c.Conn.Close()
}

// RespondAtOnce makes the HTTP server write the response to a request without waiting for the next one, of which a part may have arrived.
func RespondAtOnce(ctx *fasthttp.RequestCtx) {
	_ = ctx.SetWriteDeadline(time.Time{}) // Where a handler sets one, the server flushes. On a closed connection, writing fails anyway.
}

// SetRequestID sets the ID of the request that has been received in full, for the report of a loss.
func (c *Conn) SetRequestID(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.requestID = id
}

// Abort resets the connection, so that the caller can't take a partial response for a complete one.
func (c *Conn) Abort() {
	c.noteAbort()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Without this, Close would send a FIN, as after a complete response.
	}
	_ = c.Close()
}

// saveTimeout records whether the last read has ended by the time for its request.
func (c *Conn) saveTimeout(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
}

func (c *Conn) hasTimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timedOut
}

func (c *Conn) hasRespondedEarly() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.respondedEarly && c.state == connReceiving
}
