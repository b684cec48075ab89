package railconn

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/limit/railconnlimits"
	"github.com/fulmarrail/fulmarrail/internal/limit/railmemory"
	"github.com/fulmarrail/fulmarrail/internal/node/railloss"
)

const (
	// connNew means that the connection has been opened and that nothing has been received yet.
	connNew connState = iota
	// connReceiving means that a part of a request has been received.
	connReceiving
	// connAnswering means that a request has been received and that its response has not been written in full.
	connAnswering
	// connAnswered means that a response has been written and that the server has not turned to the next request yet.
	connAnswered
	// connIdle means that the server waits for the first byte of the next request.
	connIdle
	// connEnding means that the end of the connection has been sent, and that input is discarded.
	connEnding
)

// lingerTimeout is how long input is discarded after the end of the connection has been sent, unless the caller closes it sooner.
const lingerTimeout = time.Second

// newRequestTime is how long a drain awaits the first byte of the first request on a connection.
const newRequestTime = time.Second

// discardBufferBytes is the size of the buffer with which input is discarded.
const discardBufferBytes = 4 << 10

// past is a deadline that interrupts a read.
var past = time.Unix(1, 0)

// connState is the state of a caller's connection between and during requests.
type connState uint8

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

// Watch calls onDisconnect if the caller disconnects before stop is called. The connection must not be read until stop has returned.
func (c *Conn) Watch(onDisconnect func()) (stop func()) {
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(done)
		var b [1]byte
		n, err := c.Conn.Read(b[:])
		select {
		case <-stopped:
			err = nil // The read was interrupted by stop.
		default:
		}
		c.saveRead(b[:n], err)
		if err != nil {
			onDisconnect()
		}
	}()
	return func() {
		close(stopped)
		c.interrupt(true)
		<-done
		c.interrupt(false)
	}
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

// TrackState records on a caller's connection that the HTTP server turns to a request or has answered it. It is meant for the server's hook of
// that name.
func TrackState(c net.Conn, state fasthttp.ConnState) {
	conn, ok := c.(*Conn)
	switch {
	case !ok:
	case state == fasthttp.StateActive:
		conn.MarkReceiving()
	case state == fasthttp.StateIdle:
		conn.MarkAnswered()
	}
}

// RespondAtOnce makes the HTTP server write the response to a request without waiting for the next one, of which a part may have arrived.
func RespondAtOnce(ctx *fasthttp.RequestCtx) {
	_ = ctx.SetWriteDeadline(time.Time{}) // Where a handler sets one, the server flushes. On a closed connection, writing fails anyway.
}

// MarkReceiving records that the server has turned to the next request, whose first bytes it may have read with the one before.
func (c *Conn) MarkReceiving() {
	c.beginReceiving()
	c.noteBuffered()
}

// SetRequestID sets the ID of the request that has been received in full, for the report of a loss.
func (c *Conn) SetRequestID(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.requestID = id
}

// beginReceiving begins to receive a request, unless a part of it has been received already.
func (c *Conn) beginReceiving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connReceiving {
		c.enterReceiving()
	}
}

// MarkAnswering records that a request has been received in full.
func (c *Conn) MarkAnswering() {
	c.setState(connAnswering)
}

// MarkAnswered records that a response has been written. The connection becomes idle when the server reads the next request from it.
func (c *Conn) MarkAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress = progress{}
	c.releaseMemory()
	_ = c.enter(connAnswered, 0) // On a closed connection, the next read fails anyway.
}

// Abort resets the connection, so that the caller can't take a partial response for a complete one.
func (c *Conn) Abort() {
	c.noteAbort()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Without this, Close would send a FIN, as after a complete response.
	}
	_ = c.Close()
}

// interrupt ends Watch's read, or lets reads wait again.
func (c *Conn) interrupt(interrupted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = interrupted
	_ = c.limitRead() // On a closed connection, the read has already returned.
}

// beginWait makes the connection idle if its last request has been answered.
func (c *Conn) beginWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connAnswered {
		_ = c.enter(connIdle, c.currentLimits().IdleTimeout) // On a closed connection, the read fails anyway.
	}
}

// endWait ends the wait for the first byte of a request if it has arrived in a read of n bytes. It reports whether a request has begun to arrive,
// now or before.
func (c *Conn) endWait(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connIdle && c.state != connNew {
		return true
	}
	if n > 0 {
		c.enterReceiving()
	}
	return n > 0
}

// readArrived reads what has arrived, although the time to wait for it is over.
func (c *Conn) readArrived(p []byte) (int, error) {
	c.setReadingArrived(true)
	defer c.setReadingArrived(false)
	return c.Conn.Read(p)
}

func (c *Conn) setReadingArrived(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingArrived = reading
	_ = c.limitRead() // On a closed connection, the next read fails anyway.
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

// hasUnreadData reports whether data has arrived that has not been read.
func (c *Conn) hasUnreadData() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false // The connection has been closed.
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // It fails if nothing has arrived.
	})
	return err == nil && n > 0
}

// takeSavedRead returns the result of Watch's read, or zero values if there is none.
func (c *Conn) takeSavedRead(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.buffered) > 0 {
		n := copy(p, c.buffered)
		c.buffered = c.buffered[n:]
		return n, nil
	}
	return 0, c.readErr
}

func (c *Conn) saveRead(data []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffered = append(c.buffered, data...)
	c.readErr = err
}

func (c *Conn) isAnswering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == connAnswering
}

// isBusy reports whether a response is due on the connection, or a request has begun to arrive.
func (c *Conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == connAnswering || c.state == connReceiving
}

// hasMoreInput reports whether a response has been written and data of a further request has arrived.
func (c *Conn) hasMoreInput() bool {
	c.mu.Lock()
	written := (c.state == connAnswering || c.state == connAnswered) && !c.progress.aborted
	buffered := len(c.buffered) > 0
	c.mu.Unlock()
	return written && (buffered || c.hasUnreadData())
}

// refusesArrived reports whether data that has arrived is not read any more, since its request was cut off.
func (c *Conn) refusesArrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cutOff && c.state == connReceiving
}

func (c *Conn) hasRespondedEarly() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.respondedEarly && c.state == connReceiving
}

func (c *Conn) setState(state connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.enter(state, 0) // On a closed connection, the next read fails anyway.
}
