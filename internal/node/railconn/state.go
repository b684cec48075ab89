package railconn

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
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

// connState is the state of a caller's connection between and during requests.
type connState uint8

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

// MarkReceiving records that the server has turned to the next request, whose first bytes it may have read with the one before.
func (c *Conn) MarkReceiving() {
	c.beginReceiving()
	c.noteBuffered()
}

// MarkAnswering records that a request has been received in full.
func (c *Conn) MarkAnswering() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.enter(connAnswering, 0) // On a closed connection, the next read fails anyway.
}

// MarkAnswered records that a response has been written. The connection becomes idle when the server reads the next request from it.
func (c *Conn) MarkAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress = progress{}
	c.releaseMemory()
	_ = c.enter(connAnswered, 0) // On a closed connection, the next read fails anyway.
}

// beginReceiving begins to receive a request, unless a part of it has been received already.
func (c *Conn) beginReceiving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connReceiving {
		c.enterReceiving()
	}
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

func (c *Conn) currentState() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// enter changes the connection's state, whose wait ends after a time, or never if that is 0. The caller must hold the lock.
func (c *Conn) enter(state connState, wait time.Duration) error {
	now := time.Now()
	c.state, c.stateSince, c.waitUntil = state, now, time.Time{}
	if wait > 0 {
		c.waitUntil = now.Add(wait)
	}
	return c.limitRead()
}

// enterReceiving makes the limits that are now in force hold for the request whose first byte has arrived. The caller must hold the lock.
func (c *Conn) enterReceiving() {
	c.limits = c.currentLimits()
	wait := time.Duration(0)
	if c.limits.HeaderTimeout > 0 {
		wait = c.limits.HeaderTimeout + arrivalSlack
	}
	_ = c.enter(connReceiving, wait) // On a closed connection, the next read fails anyway.
}
