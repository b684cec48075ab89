package railconn

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/limit/railconnlimits"
)

// arrivalSlack is added to the time for a head, since its parts may be delayed on their way.
const arrivalSlack = time.Second

// HeaderReceived returns a hook for the server's field of that name, which limits the time for a body to bodyTimeout from the end of its head.
func HeaderReceived(bodyTimeout time.Duration) func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{ReadTimeout: bodyTimeout}
	}
}

// Limits returns the limits that hold for the request on the connection: those that were in force when its first byte arrived.
func (c *Conn) Limits() railconnlimits.Limits {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits
}

// awaitFirst begins the wait for the first byte on a new connection.
func (c *Conn) awaitFirst() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.enter(connNew, c.currentLimits().IdleTimeout) // On a closed connection, the read fails anyway.
}

// SetReadDeadline sets the time by which the body of the current request must have arrived. The HTTP server calls it once it has received a
// request's head, as HeaderReceived makes it do, and at no other time: the connection itself limits all other reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitUntil = t
	return c.limitRead()
}

// readDeadline returns the time at which a read ends that is under way or comes next, or the zero time for none. It follows from the connection's
// state, its drain and its limits. The caller must hold the lock.
func (c *Conn) readDeadline() time.Time {
	switch {
	case c.readingArrived:
		return time.Time{}
	case c.interrupted:
		return past
	case c.state == connIdle && c.draining, c.cutOff && (c.state == connNew || c.state == connReceiving):
		return past
	case c.state == connNew && c.draining:
		return earliest(c.stateSince.Add(newRequestTime), c.waitUntil)
	case c.state == connNew, c.state == connIdle, c.state == connReceiving, c.state == connEnding:
		return c.waitUntil
	}
	return time.Time{}
}

// limitRead applies readDeadline, also to a read that is under way. The caller must hold the lock.
func (c *Conn) limitRead() error {
	deadline := c.readDeadline()
	if deadline.Equal(c.deadline) {
		return nil
	}
	c.deadline = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// earliest returns the earlier of two times; the zero time is none.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}
